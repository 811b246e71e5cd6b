#ifndef FOXQUAY_CONTROL_CLOCK_H_
#define FOXQUAY_CONTROL_CLOCK_H_

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::control {

/// Time that an observer's configuration stays usable after its confirmation.
inline constexpr core::Duration kConfigLease = std::chrono::milliseconds(2500);
/// Largest difference between the rates of two hosts' clocks, in percent.
inline constexpr int kClockErrorPercent = 1;
/// Time in which an order to an upstream is delivered or its connection closed.
inline constexpr core::Duration kOrderDelivery = std::chrono::seconds(2);

/// Returns the longest time that another host's clock may show for `duration`
/// on this one, rounded up. Thread-safe.
[[nodiscard]] constexpr core::Duration WithClockError(
    core::Duration duration) noexcept {
  return duration + duration * kClockErrorPercent / 100 + core::Duration(1);
}

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CLOCK_H_
