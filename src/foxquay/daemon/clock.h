#ifndef FOXQUAY_DAEMON_CLOCK_H_
#define FOXQUAY_DAEMON_CLOCK_H_

#include <chrono>

#include "foxquay/core/time.h"
#include "foxquay/net/clock.h"

namespace foxquay::daemon {

/// Returns the monotonic clock. It includes the time in which the machine was
/// suspended, so that leases expire during a suspension. Thread-safe.
[[nodiscard]] inline core::Instant Now() noexcept { return net::LeaseNow(); }

/// Returns the wall clock in milliseconds. Thread-safe.
[[nodiscard]] inline core::WallTime WallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CLOCK_H_
