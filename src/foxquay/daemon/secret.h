#ifndef FOXQUAY_DAEMON_SECRET_H_
#define FOXQUAY_DAEMON_SECRET_H_

#include <string>
#include <string_view>

#include "foxquay/core/error.h"

namespace foxquay::daemon {

/// Reads a secret from the first line of a file.
///
/// Errors: kNotFound if the file cannot be read, kUnauthorized if its mode
/// gives any permission to its group or to others, kInvalid if the line is
/// empty. Thread-safe.
[[nodiscard]] core::Result<std::string> ReadSecret(const std::string& file);

/// Compares two secrets in constant time, except that a difference in length
/// returns early. Thread-safe.
[[nodiscard]] bool SecretsEqual(std::string_view left, std::string_view right);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SECRET_H_
