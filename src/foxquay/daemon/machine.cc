#include "foxquay/daemon/machine.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <limits>

namespace foxquay::daemon {
namespace internal {

/// Parts of the memory for the connections of callers and of other hosts. The
/// rest is for the state of the process, responses and copies.
constexpr std::size_t kCallerMemoryPart = 4;
constexpr std::size_t kPeerMemoryPart = 8;

/// Bytes for callers at least: those of one large request and its copies.
constexpr std::size_t kMinCallerBytes = std::size_t{16} << 20U;
constexpr std::size_t kMinPeerBytes = std::size_t{8} << 20U;

/// Parts of the descriptors for connections of callers and of other hosts. The
/// rest is for upstreams and files.
constexpr std::size_t kCallerDescriptorPart = 2;
constexpr std::size_t kPeerDescriptorPart = 4;

/// Descriptors if the process has no limit.
constexpr std::size_t kManyDescriptors = std::size_t{1} << 20U;

/// Returns the soft limit of a resource, or `otherwise` if there is none.
std::size_t SoftLimit(int resource, std::size_t otherwise) {
  rlimit limit{};
  const bool limited =
      getrlimit(static_cast<__rlimit_resource>(resource), &limit) == 0 &&
      limit.rlim_cur != RLIM_INFINITY;
  return limited ? static_cast<std::size_t>(limit.rlim_cur) : otherwise;
}

std::size_t PhysicalMemory() {
  struct sysinfo info {};
  if (sysinfo(&info) != 0) return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

}  // namespace internal

Machine ReadMachine() {
  const std::size_t physical = internal::PhysicalMemory();
  Machine machine;
  machine.memory_bytes =
      std::min({physical, internal::SoftLimit(RLIMIT_DATA, physical),
                internal::SoftLimit(RLIMIT_AS, physical)});
  machine.descriptors =
      internal::SoftLimit(RLIMIT_NOFILE, internal::kManyDescriptors);
  return machine;
}

net::BufferLimits MakeCallerLimits(const schema::LimitSettings& settings,
                                   const Machine& machine) {
  net::BufferLimits limits;
  limits.bytes = settings.buffer_bytes;
  if (limits.bytes == 0) {
    limits.bytes = std::max(machine.memory_bytes / internal::kCallerMemoryPart,
                            internal::kMinCallerBytes);
  }
  limits.connections = settings.max_connections;
  if (limits.connections == 0) {
    limits.connections = std::max<std::size_t>(
        machine.descriptors / internal::kCallerDescriptorPart, 1);
  }
  return limits;
}

net::BufferLimits MakePeerLimits(const Machine& machine) {
  return {std::max(machine.memory_bytes / internal::kPeerMemoryPart,
                   internal::kMinPeerBytes),
          std::max<std::size_t>(
              machine.descriptors / internal::kPeerDescriptorPart, 1)};
}

}  // namespace foxquay::daemon
