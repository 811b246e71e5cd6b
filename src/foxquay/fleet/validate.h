#ifndef FOXQUAY_FLEET_VALIDATE_H_
#define FOXQUAY_FLEET_VALIDATE_H_

#include <string>

#include "foxquay/core/finding.h"
#include "foxquay/schema/control.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Validates a fleet configuration without reference to any other state.
///
/// Returns all findings: unknown or duplicate services, routes with the same
/// host and path prefix, path prefixes without a slash at both ends, negative
/// weights or a sum of weights of 0, timeouts that are not positive, and API
/// keys that belong to two workspaces. Thread-safe.
[[nodiscard]] core::Findings Validate(const schema::Fleet& fleet);

/// Returns the command that stores a fleet configuration.
///
/// Adds to `findings` what Validate and FindOversizes return. The command must
/// not be sent if `findings` is not empty then, or if CheckSize has a finding
/// on it. Thread-safe.
///
/// @param source The configuration as the operator sent it.
[[nodiscard]] schema::PutFleet MakePutCommand(const schema::Fleet& fleet,
                                              std::string source,
                                              core::Findings& findings);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_VALIDATE_H_
