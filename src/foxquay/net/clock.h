#ifndef FOXQUAY_NET_CLOCK_H_
#define FOXQUAY_NET_CLOCK_H_

#include <time.h>  // NOLINT: clock_gettime is not in <ctime>

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::net {

/// Returns the clock that timeouts are measured on. Thread-safe.
[[nodiscard]] inline core::Instant SteadyNow() noexcept {
  return std::chrono::steady_clock::now();
}

/// Returns the clock that leases are measured on: it counts the time that the
/// machine was suspended, so that no lease outlives a suspension. Thread-safe.
[[nodiscard]] inline core::Instant LeaseNow() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::Instant(std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_CLOCK_H_
