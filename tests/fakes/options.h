#ifndef FOXQUAY_TESTS_FAKES_OPTIONS_H_
#define FOXQUAY_TESTS_FAKES_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxquay::fakes {

/// Command line of a fake upstream.
struct Options {
  std::string id;
  std::string listen;                 ///< IP:PORT to serve.
  std::vector<std::string> announce;  ///< Upstream listeners of hosts.
  std::string data_centre = "local";
  std::string log;      ///< Executions; none if empty.
  std::string model;    ///< Of a model upstream.
  std::string service;  ///< Of a service upstream.
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
  std::uint32_t model_layers = 1;
  std::uint32_t slots = 64;
  std::chrono::milliseconds token_time{10};  ///< Also the time of a call.
  std::uint32_t stop_at = 0;      ///< Index after which answers stop; 0: never.
  std::uint32_t die_after = 0;    ///< Tokens or calls before a crash; 0: never.
  std::uint32_t hang_after = 0;   ///< Tokens or calls before silence.
  std::uint32_t leave_after = 0;  ///< Tokens or calls before leaving.
  bool refuse = false;            ///< Whether to refuse all work.
};

/// Reads the command line; prints faults and exits.
[[nodiscard]] Options ParseOptions(int argc, const char** argv);

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_OPTIONS_H_
