#ifndef FOXQUAY_FLEET_VALIDATE_H_
#define FOXQUAY_FLEET_VALIDATE_H_

#include "foxquay/core/finding.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Returns every fault of a configuration that is complete by itself: unknown
/// services, two routes at one place, weights that add up to 0, timeouts of 0,
/// keys that two workspaces share, prefixes without their slashes. Thread-safe.
[[nodiscard]] core::Findings Validate(const schema::Fleet& fleet);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_VALIDATE_H_
