#ifndef FOXQUAY_DAEMON_SECRET_H_
#define FOXQUAY_DAEMON_SECRET_H_

#include <string>
#include <string_view>

#include "foxquay/core/error.h"

namespace foxquay::daemon {

/// Reads a secret from the first line of a file.
///
/// Errors: kNotFound if it cannot be read, kUnauthorized if others than its
/// owner may read it, kInvalid if the line is empty. Thread-safe.
[[nodiscard]] core::Result<std::string> ReadSecret(const std::string& file);

/// Compares in time that does not depend on where the texts differ.
/// Thread-safe.
[[nodiscard]] bool SecretsEqual(std::string_view left, std::string_view right);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SECRET_H_
