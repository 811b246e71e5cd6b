#ifndef FOXQUAY_CLI_ADMIN_H_
#define FOXQUAY_CLI_ADMIN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "foxquay_cli/arguments.h"

namespace foxquay::cli {

/// Options of all commands that call the admin listener of a host.
struct AdminOptions {
  std::string config;            ///< Settings file; default of the two below.
  std::string address;           ///< Admin listener, `IP:PORT`.
  std::string token_file;        ///< File with the operator token.
  std::string output = "table";  ///< `table` or `json`.

  /// Adds `--config`, `--admin`, `--token-file` and `--output`.
  void AddTo(Arguments& arguments);
};

/// HTTP answer of an admin listener.
struct AdminReply {
  std::uint32_t status = 0;
  nlohmann::json body;  ///< Discarded value if the body is not valid JSON.
};

/// HTTP client of the admin listener of one host.
class AdminClient {
 public:
  /// Reads the settings file, if one is given, and the token file. Prints an
  /// error and returns nothing if either cannot be used.
  [[nodiscard]] static std::optional<AdminClient> Open(
      const AdminOptions& options);

  /// Sends a request; `body` is sent as JSON unless it is null. Returns nothing
  /// if no answer arrives within 20 s.
  [[nodiscard]] std::optional<AdminReply> Call(
      const std::string& method, const std::string& path,
      const nlohmann::json& body) const;

  /// Sends a GET request and returns the body of the answer. On failure prints
  /// an error, sets the exit status and returns nothing.
  [[nodiscard]] std::optional<nlohmann::json> Get(const std::string& path,
                                                  int& status) const;

 private:
  AdminClient(std::string address, std::string token);

  std::string address_;
  std::string token_;
};

/// Parses a command line that has only the admin options and opens the client.
/// On failure prints an error, sets the exit status and returns nothing.
[[nodiscard]] std::optional<AdminClient> OpenFromArguments(
    int argc, const char** argv, AdminOptions& options, int& status);

/// Prints an error answer and what to do about it; returns the exit status.
int PrintError(const AdminReply& reply);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_ADMIN_H_
