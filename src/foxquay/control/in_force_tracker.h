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

/// Whether an entry of the configuration feed is in force on all hosts.
struct InForce {
  bool in_force = false;
  /// Hosts that have not applied the entry and may still hold a lease.
  std::vector<core::HostId> waiting;
  /// Hosts that have not applied the entry and whose lease has expired.
  std::vector<core::HostId> expired;
};

/// Decides on the leader when an entry of the configuration feed is in force.
///
/// An entry is in force when every host that may hold a lease has applied it,
/// or when every lease under a configuration without it has expired.
///
/// Not thread-safe.
class InForceTracker {
 public:
  /// Precondition: `now` is when this replica became leader, `config` is its
  /// configuration then, and `lease` is the lease duration of all hosts.
  InForceTracker(const Config& config, core::Instant now,
                 core::Duration lease = kConfigLease);

  /// Records that the leader applied the next feed entry at `now`.
  void HandleCommit(const schema::ConfigEntry& entry, core::Instant now);

  /// Records that a host reported to have applied the feed up to `sequence`.
  /// Reports of unknown incarnations are ignored.
  void HandleApplied(const core::HostId& host, std::uint64_t incarnation,
                     std::uint64_t sequence);

  /// Returns whether the feed entry with this sequence is in force at `now`.
  [[nodiscard]] InForce Check(std::uint64_t sequence, core::Instant now) const;

 private:
  /// Host and its incarnation.
  using Process = std::pair<core::HostId, std::uint64_t>;

  [[nodiscard]] core::Instant CommitTime(std::uint64_t sequence) const;
  [[nodiscard]] bool HasApplied(const Process& process,
                                std::uint64_t sequence) const;
  void PruneExpired(core::Instant now);

  core::Instant leader_since_;
  /// Maximum duration of another host's lease on this host's clock.
  core::Duration max_remote_lease_;
  std::uint64_t sequence_ = 0;  ///< Sequence of the last feed entry.
  std::map<core::HostId, std::uint64_t> live_;
  /// End times of incarnations whose processes may still hold a lease.
  std::map<Process, core::Instant> ended_;
  std::map<Process, std::uint64_t> applied_;
  std::map<std::uint64_t, core::Instant> commit_times_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_IN_FORCE_TRACKER_H_
