#ifndef FOXQUAY_CONTROL_TIMING_H_
#define FOXQUAY_CONTROL_TIMING_H_

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::control {

/// Time for which an observer may use its configuration after it was confirmed
/// as current.
inline constexpr core::Duration kConfigLease = std::chrono::milliseconds(2500);
/// Time within which an order to an upstream must be delivered; after it the
/// connection is closed.
inline constexpr core::Duration kOrderDeliveryTimeout = std::chrono::seconds(2);

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_TIMING_H_
