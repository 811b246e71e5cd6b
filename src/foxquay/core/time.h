#ifndef FOXQUAY_CORE_TIME_H_
#define FOXQUAY_CORE_TIME_H_

#include <chrono>

namespace foxquay::core {

/// Unit of all durations inside a process.
using Duration = std::chrono::nanoseconds;
/// Time on the monotonic clock; not comparable between processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Time on the wall clock; comparable between hosts up to their clock error.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Largest difference between the rates of two hosts' clocks, in per mille;
/// allows for a rate error of 1 % on each side.
inline constexpr int kClockErrorPerMille = 21;

/// Returns the longest time that the clock of one host may measure while that
/// of another measures `duration`, rounded up. Thread-safe.
[[nodiscard]] constexpr Duration WithClockError(Duration duration) noexcept {
  return duration + duration * kClockErrorPerMille / 1000 + Duration(1);
}

/// Returns a duration times a factor, rounded towards zero. Thread-safe.
[[nodiscard]] constexpr Duration Scale(Duration duration,
                                       double factor) noexcept {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

/// Returns a duration in milliseconds with fractions, for log lines.
[[nodiscard]] constexpr double ToMilliseconds(Duration duration) noexcept {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_TIME_H_
