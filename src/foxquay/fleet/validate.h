#ifndef FOXQUAY_FLEET_VALIDATE_H_
#define FOXQUAY_FLEET_VALIDATE_H_

#include "foxquay/core/finding.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Validates a fleet configuration without reference to any other state.
///
/// Returns all findings: unknown or duplicate services, routes with the same
/// host and path prefix, path prefixes without a slash at both ends, negative
/// weights or a sum of weights of 0, timeouts that are not positive, and API
/// keys that belong to two workspaces. Thread-safe.
[[nodiscard]] core::Findings Validate(const schema::Fleet& fleet);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_VALIDATE_H_
