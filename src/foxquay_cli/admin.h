#ifndef FOXQUAY_CLI_ADMIN_H_
#define FOXQUAY_CLI_ADMIN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "foxquay_cli/arguments.h"

namespace foxquay::cli {

/// Where and how to reach the admin listener of a host, and how to print.
struct AdminOptions {
  std::string config;      ///< Settings file that names the two below.
  std::string address;     ///< Admin listener, `IP:PORT`.
  std::string token_file;  ///< File with the operator token.
  std::string output = "table";

  /// Adds `--config`, `--admin`, `--token-file` and `--output`.
  void AddTo(Arguments& arguments);
};

/// Answer of an admin listener.
struct AdminReply {
  std::uint32_t status = 0;
  nlohmann::json body;
};

/// Calls the admin listener of one host.
class AdminClient {
 public:
  /// Reads the settings file and the token; prints a fault and returns nothing
  /// if there is one.
  [[nodiscard]] static std::optional<AdminClient> Open(
      const AdminOptions& options);

  /// Sends a request; nothing if the answer did not arrive.
  [[nodiscard]] std::optional<AdminReply> Call(
      const std::string& method, const std::string& path,
      const nlohmann::json& body) const;

  /// Reads an object; if there is a fault, prints it, sets the exit status and
  /// returns nothing.
  [[nodiscard]] std::optional<nlohmann::json> Get(const std::string& path,
                                                  int& status) const;

 private:
  AdminClient(std::string address, std::string token);

  std::string address_;
  std::string token_;
};

/// Parses a command line that has the admin options only and opens the client;
/// on a fault sets the exit status and returns nothing.
[[nodiscard]] std::optional<AdminClient> OpenFromArguments(
    int argc, const char** argv, AdminOptions& options, int& status);

/// Prints a fault reply with what to do next and returns the exit status.
int PrintError(const AdminReply& reply);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_ADMIN_H_
