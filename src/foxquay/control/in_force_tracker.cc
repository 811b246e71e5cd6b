#include "foxquay/control/in_force_tracker.h"

#include <algorithm>

#include "foxquay/control/clock.h"

namespace foxquay::control {

InForceTracker::InForceTracker(const Config& config, core::Instant now,
                               core::Duration lease)
    : start_(now),
      lease_elsewhere_(core::WithClockError(lease)),
      sequence_(config.sequence()) {
  for (const auto& [host, record] : config.hosts()) {
    if (record.live) live_[host] = record.incarnation;
  }
}

void InForceTracker::HandleCommit(const schema::ConfigEntry& entry,
                                  core::Instant now) {
  DropOld(now);
  sequence_ = entry.sequence;
  commits_[entry.sequence] = now;
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
    if (!Applied({host, incarnation}, sequence)) behind.push_back(host);
  }
  for (const auto& [process, ended] : ended_) {
    if (now - ended < lease_elsewhere_ && !Applied(process, sequence)) {
      behind.push_back(process.first);
    }
  }
  // Processes that ended before this leader's time are unknown to it.
  const bool hosts_known = now - start_ >= lease_elsewhere_;
  if (now - CommitTime(sequence) >= lease_elsewhere_) {
    result.in_force = true;
    result.expired = std::move(behind);
  } else {
    result.in_force = behind.empty() && hosts_known;
    result.waiting = std::move(behind);
  }
  return result;
}

core::Instant InForceTracker::CommitTime(std::uint64_t sequence) const {
  const auto found = commits_.find(sequence);
  if (found != commits_.end()) return found->second;
  // Older than every kept commit: committed before this leader's time, or
  // dropped because its lease time has long passed.
  return start_;
}

bool InForceTracker::Applied(const Process& process,
                             std::uint64_t sequence) const {
  const auto found = applied_.find(process);
  return found != applied_.end() && found->second >= sequence;
}

void InForceTracker::DropOld(core::Instant now) {
  while (!commits_.empty() &&
         now - commits_.begin()->second >= 2 * lease_elsewhere_) {
    commits_.erase(commits_.begin());
  }
  std::erase_if(ended_, [&](const auto& item) {
    return now - item.second >= lease_elsewhere_;
  });
  std::erase_if(applied_, [&](const auto& item) {
    const auto live = live_.find(item.first.first);
    return (live == live_.end() || live->second != item.first.second) &&
           !ended_.contains(item.first);
  });
}

}  // namespace foxquay::control
