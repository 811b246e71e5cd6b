#ifndef FOXQUAY_TESTS_FAKES_OPTIONS_H_
#define FOXQUAY_TESTS_FAKES_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxquay::fakes {

/// Command-line options of a fake upstream.
struct Options {
  std::string id;
  std::string listen;                 ///< IP:PORT to serve.
  std::vector<std::string> announce;  ///< Upstream listeners of the hosts.
  std::string data_centre = "local";
  std::string log;      ///< File of the execution log; none if empty.
  std::string model;    ///< Model held; empty for a service upstream.
  std::string service;  ///< Service, of a service upstream.
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
  std::uint32_t model_layers = 1;
  std::uint32_t slots = 64;
  std::chrono::milliseconds token_time{10};  ///< Time of a token, or of a call.
  std::uint32_t stop_at = 0;     ///< Length of answers in tokens; 0: unlimited.
  std::uint32_t die_after = 0;   ///< Tokens or calls before a crash; 0: never.
  std::uint32_t hang_after = 0;  ///< Tokens or calls before a hang; 0: never.
  std::uint32_t leave_after = 0;  ///< Tokens or calls before leaving; 0: never.
  bool refuse = false;            ///< Whether to refuse all requests with 503.
};

/// Parses the command line; prints an error and exits if it is invalid.
[[nodiscard]] Options ParseOptions(int argc, const char** argv);

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_OPTIONS_H_
