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

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_TIME_H_
