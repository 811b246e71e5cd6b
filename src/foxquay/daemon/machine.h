#ifndef FOXQUAY_DAEMON_MACHINE_H_
#define FOXQUAY_DAEMON_MACHINE_H_

#include <cstddef>

#include "foxquay/net/buffer_budget.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// What this process may use of its machine.
struct Machine {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
};

/// Returns the memory of the machine, or less if a limit of the process is
/// lower, and the limit on its file descriptors. Thread-safe.
[[nodiscard]] Machine ReadMachine();

/// Returns what the connections of callers may use together, by the settings or
/// else as a part of the machine. Thread-safe.
[[nodiscard]] net::BufferLimits MakeCallerLimits(
    const schema::LimitSettings& settings, const Machine& machine);

/// Returns what the connections from other hosts may use together. Thread-safe.
[[nodiscard]] net::BufferLimits MakePeerLimits(const Machine& machine);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_MACHINE_H_
