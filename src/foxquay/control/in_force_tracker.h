#ifndef FOXQUAY_CONTROL_IN_FORCE_TRACKER_H_
#define FOXQUAY_CONTROL_IN_FORCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "foxquay/control/config.h"
#include "foxquay/control/timing.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Whether a step of the configuration is in force everywhere.
struct InForce {
  bool in_force = false;
  std::vector<core::HostId> waiting;  ///< Hosts waited for if not in force.
  std::vector<core::HostId> expired;  ///< Hosts whose lease had to expire.
};

/// Decides on the leader when a step of the configuration is in force: every
/// host that may hold a lease has applied it, or every lease without it has
/// ended.
///
/// Not thread-safe.
class InForceTracker {
 public:
  /// Starts when this replica becomes leader; `config` is its configuration
  /// and `lease` that of all hosts.
  InForceTracker(const Config& config, core::Instant now,
                 core::Duration lease = kConfigLease);

  /// Notes that the leader applied the next step at `now`.
  void HandleCommit(const schema::ConfigEntry& entry, core::Instant now);

  /// Notes that a host reported the sequence it has applied.
  void HandleApplied(const core::HostId& host, std::uint64_t incarnation,
                     std::uint64_t sequence);

  /// Returns whether the step is in force at `now`.
  [[nodiscard]] InForce Check(std::uint64_t sequence, core::Instant now) const;

 private:
  using Process = std::pair<core::HostId, std::uint64_t>;

  [[nodiscard]] core::Instant CommitTime(std::uint64_t sequence) const;
  [[nodiscard]] bool HasApplied(const Process& process,
                                std::uint64_t sequence) const;
  void PruneExpired(core::Instant now);

  core::Instant leader_since_;
  core::Duration max_remote_lease_;
  std::uint64_t sequence_ = 0;
  std::map<core::HostId, std::uint64_t> live_;
  std::map<Process, core::Instant> ended_;  ///< May still hold a lease.
  std::map<Process, std::uint64_t> applied_;
  std::map<std::uint64_t, core::Instant> commit_times_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_IN_FORCE_TRACKER_H_
