#ifndef FOXQUAY_CORE_TIME_H_
#define FOXQUAY_CORE_TIME_H_

#include <chrono>

namespace foxquay::core {

/// Resolution of all times inside a process.
using Duration = std::chrono::nanoseconds;
/// Point on the monotonic clock of one process; meaningless to another.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Point on the wall clock, comparable between hosts within their clock error.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Largest difference between the rates of two hosts' clocks, in per mille: a
/// rate error of 1 % on each side.
inline constexpr int kClockErrorPerMille = 21;

/// Returns the longest time that one host's clock may show for `duration` on
/// another's, rounded up. Thread-safe.
[[nodiscard]] constexpr Duration WithClockError(Duration duration) noexcept {
  return duration + duration * kClockErrorPerMille / 1000 + Duration(1);
}

/// Returns a duration times a factor, rounded towards zero. Thread-safe.
[[nodiscard]] constexpr Duration Scale(Duration duration,
                                       double factor) noexcept {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_TIME_H_
