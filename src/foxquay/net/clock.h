#ifndef FOXQUAY_NET_CLOCK_H_
#define FOXQUAY_NET_CLOCK_H_

#include <time.h>  // NOLINT: clock_gettime is not in <ctime>

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::net {

/// Returns the current time of the clock used for timeouts. Thread-safe.
[[nodiscard]] inline core::Instant SteadyNow() noexcept {
  return std::chrono::steady_clock::now();
}

/// Returns the current time of the clock used for leases. It includes the time
/// that the machine was suspended, so that a lease also expires during a
/// suspension. Thread-safe.
[[nodiscard]] inline core::Instant LeaseNow() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::Instant(std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_CLOCK_H_
