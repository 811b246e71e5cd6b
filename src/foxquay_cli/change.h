#ifndef FOXQUAY_CLI_CHANGE_H_
#define FOXQUAY_CLI_CHANGE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "foxquay_cli/admin.h"

namespace foxquay::cli {

/// Options of all commands that change defaults or exceptions.
struct ChangeOptions {
  std::string author;     ///< The user's login name if empty.
  std::string change_id;  ///< Generated at random if empty.
  int revision = -1;      ///< Expected revision; the current one if negative.
  bool wait = false;      ///< Whether to wait until the change is in force.

  /// Adds `--author`, `--change-id`, `--revision` and `--wait`.
  void AddTo(Arguments& arguments);
};

/// Sends a change, prints its result and returns the exit status.
///
/// A change without an answer is sent again, up to three times in all, with the
/// same change id, so that it is accepted at most once.
///
/// @param method HTTP method of the change.
/// @param path Path on the admin listener.
/// @param body Fields of the change; the change id, the expected revision and
/// the author are added.
int SendChange(const AdminClient& client, const AdminOptions& admin,
               const ChangeOptions& change, const std::string& method,
               const std::string& path, nlohmann::json body);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_CHANGE_H_
