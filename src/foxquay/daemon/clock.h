#ifndef FOXQUAY_DAEMON_CLOCK_H_
#define FOXQUAY_DAEMON_CLOCK_H_

#include <time.h>  // NOLINT: clock_gettime is not in <ctime>

#include <chrono>

#include "foxquay/core/time.h"

namespace foxquay::daemon {

/// Returns the monotonic clock including time that the machine was suspended,
/// so that no lease outlives a suspension. Thread-safe.
[[nodiscard]] inline core::Instant Now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::Instant(std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec));
}

/// Returns the wall clock. Thread-safe.
[[nodiscard]] inline core::WallTime WallNow() noexcept {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CLOCK_H_
