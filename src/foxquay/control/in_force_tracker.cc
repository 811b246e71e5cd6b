#include "foxquay/control/in_force_tracker.h"

#include <algorithm>

#include "foxquay/control/timing.h"

namespace foxquay::control {

InForceTracker::InForceTracker(const Config& config, core::Instant now,
                               core::Duration lease)
    : leader_since_(now),
      max_remote_lease_(core::WithClockError(lease)),
      sequence_(config.sequence()) {
  for (const auto& [host, record] : config.hosts()) {
    if (record.live) live_[host] = record.incarnation;
  }
}

void InForceTracker::HandleCommit(const schema::ConfigEntry& entry,
                                  core::Instant now) {
  PruneExpired(now);
  sequence_ = entry.sequence;
  commit_times_[entry.sequence] = now;
  for (const schema::HostRecord& record : entry.hosts) {
    const auto old = live_.find(record.host);
    if (old != live_.end()) {
      if (old->second != record.incarnation || !record.live) {
        ended_[{old->first, old->second}] = now;
      }
      live_.erase(old);
    }
    if (record.live) live_[record.host] = record.incarnation;
  }
}

void InForceTracker::HandleApplied(const core::HostId& host,
                                   std::uint64_t incarnation,
                                   std::uint64_t sequence) {
  const Process process(host, incarnation);
  const auto live = live_.find(host);
  const bool known = (live != live_.end() && live->second == incarnation) ||
                     ended_.contains(process);
  if (!known) return;
  std::uint64_t& applied = applied_[process];
  applied = std::max(applied, sequence);
}

InForce InForceTracker::Check(std::uint64_t sequence, core::Instant now) const {
  InForce result;
  if (sequence > sequence_) return result;
  std::vector<core::HostId> behind;
  for (const auto& [host, incarnation] : live_) {
    if (!HasApplied({host, incarnation}, sequence)) behind.push_back(host);
  }
  for (const auto& [process, ended] : ended_) {
    if (now - ended < max_remote_lease_ && !HasApplied(process, sequence)) {
      behind.push_back(process.first);
    }
  }
  // Incarnations that ended before this replica became leader are unknown to
  // it, and their processes may hold a lease until it has expired.
  const bool hosts_known = now - leader_since_ >= max_remote_lease_;
  if (now - CommitTime(sequence) >= max_remote_lease_) {
    result.in_force = true;
    result.expired = std::move(behind);
  } else {
    result.in_force = behind.empty() && hosts_known;
    result.waiting = std::move(behind);
  }
  return result;
}

core::Instant InForceTracker::CommitTime(std::uint64_t sequence) const {
  const auto found = commit_times_.find(sequence);
  if (found != commit_times_.end()) return found->second;
  // The entry was committed before this replica became leader, or its commit
  // time was pruned because every lease under a configuration without it
  // expired long ago.
  return leader_since_;
}

bool InForceTracker::HasApplied(const Process& process,
                                std::uint64_t sequence) const {
  const auto found = applied_.find(process);
  return found != applied_.end() && found->second >= sequence;
}

void InForceTracker::PruneExpired(core::Instant now) {
  while (!commit_times_.empty() &&
         now - commit_times_.begin()->second >= 2 * max_remote_lease_) {
    commit_times_.erase(commit_times_.begin());
  }
  std::erase_if(ended_, [&](const auto& item) {
    return now - item.second >= max_remote_lease_;
  });
  std::erase_if(applied_, [&](const auto& item) {
    const auto live = live_.find(item.first.first);
    return (live == live_.end() || live->second != item.first.second) &&
           !ended_.contains(item.first);
  });
}

}  // namespace foxquay::control
