#ifndef FOXQUAY_FLEET_SIZES_H_
#define FOXQUAY_FLEET_SIZES_H_

#include "foxquay/core/finding.h"
#include "foxquay/schema/control.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Returns a finding for each list and name of a configuration that is larger
/// than the messages between hosts allow; it states the size and the limit.
/// Thread-safe.
[[nodiscard]] core::Findings FindOversizes(const schema::Fleet& fleet);

/// Returns a finding if a configuration is too large as a whole: the document
/// or its encoded form exceeds schema::kMaxFleetBytes. Thread-safe.
[[nodiscard]] core::Findings CheckSize(const schema::PutFleet& command);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_SIZES_H_
