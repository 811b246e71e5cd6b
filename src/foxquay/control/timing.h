#ifndef FOXQUAY_CONTROL_TIMING_H_
#define FOXQUAY_CONTROL_TIMING_H_

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::control {

/// Time that an observer's configuration stays usable after its confirmation.
inline constexpr core::Duration kConfigLease = std::chrono::milliseconds(2500);
/// Time in which an order to an upstream is delivered or its connection closed.
inline constexpr core::Duration kOrderDeliveryTimeout = std::chrono::seconds(2);

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_TIMING_H_
