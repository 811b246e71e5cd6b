#include "foxquay/relay/rate_limits.h"

#include <algorithm>
#include <cmath>

namespace foxquay::relay {
namespace internal {

/// Window over which the requests of a service are counted.
constexpr core::Duration kNeedWindow = std::chrono::seconds(1);

/// Time for which the arrival of leaves is remembered.
constexpr core::Duration kLeaveMemory = std::chrono::seconds(5);

/// Time since the last leave within which another one is to be expected.
constexpr core::Duration kLeaveExpected = kLeaveLifetime * 2;

void DropBefore(std::deque<core::Instant>& times, core::Instant time) {
  while (!times.empty() && times.front() <= time) times.pop_front();
}

void DropBefore(std::map<core::ServiceId, std::deque<core::Instant>>& services,
                core::Instant time) {
  for (auto& [service, times] : services) DropBefore(times, time);
  std::erase_if(services, [](const auto& item) { return item.second.empty(); });
}

}  // namespace internal

void RateLimits::Learn(const std::vector<schema::LimitStatement>& statements,
                       core::Instant now) {
  for (const schema::LimitStatement& statement : statements) {
    table_.Record(statement, now);
  }
}

void RateLimits::AddLeaves(const std::vector<schema::LimitLeave>& leaves,
                           core::Instant now) {
  DropExpired(now);
  answered_at_ = now;
  for (const schema::LimitLeave& leave : leaves) {
    const auto limit = table_.limits().find(leave.upstream);
    if (limit == table_.limits().end()) continue;
    Leaves& own = leaves_[leave.upstream];
    if (own.born != leave.born) own.expiry.clear();
    own.born = leave.born;
    own.expiry.insert(own.expiry.end(), leave.requests, now + kLeaveLifetime);
    std::deque<core::Instant>& received = received_[limit->second.service];
    received.insert(received.end(), leave.requests, now);
  }
}

void RateLimits::DropExpired(core::Instant now) {
  for (auto& [upstream, leaves] : leaves_) {
    internal::DropBefore(leaves.expiry, now);
  }
  std::erase_if(leaves_,
                [](const auto& item) { return item.second.expiry.empty(); });
  internal::DropBefore(received_, now - internal::kLeaveMemory);
  internal::DropBefore(requests_, now - internal::kNeedWindow);
}

bool RateLimits::Allows(const core::UpstreamId& upstream, core::WallTime born,
                        core::Instant now) const {
  if (!Limited(upstream, born)) return true;
  const auto found = leaves_.find(upstream);
  return found != leaves_.end() && found->second.born == born &&
         !found->second.expiry.empty() && found->second.expiry.back() > now;
}

void RateLimits::Take(const core::UpstreamId& upstream, core::WallTime born,
                      core::Instant now) {
  const auto found = leaves_.find(upstream);
  if (found == leaves_.end() || found->second.born != born) return;
  std::deque<core::Instant>& expiry = found->second.expiry;
  internal::DropBefore(expiry, now);
  if (!expiry.empty()) expiry.pop_front();
}

bool RateLimits::AnyLimited(const core::ServiceId& service) const {
  return std::any_of(table_.limits().begin(), table_.limits().end(),
                     [&service](const auto& item) {
                       return item.second.rate &&
                              item.second.service == service;
                     });
}

std::size_t RateLimits::LeavesOf(const core::ServiceId& service,
                                 core::Instant now) const {
  std::size_t count = 0;
  for (const auto& [upstream, leaves] : leaves_) {
    const auto limit = table_.limits().find(upstream);
    if (limit == table_.limits().end()) continue;
    if (limit->second.service != service) continue;
    count += static_cast<std::size_t>(
        std::count_if(leaves.expiry.begin(), leaves.expiry.end(),
                      [now](core::Instant end) { return end > now; }));
  }
  return count;
}

bool RateLimits::HoldsLeave(const core::ServiceId& service,
                            core::Instant now) const {
  return !leaves_.empty() && LeavesOf(service, now) > 0;
}

bool RateLimits::ExpectsLeave(const core::ServiceId& service,
                              core::Instant now) const {
  const auto found = received_.find(service);
  return found != received_.end() && !found->second.empty() &&
         now - found->second.back() < internal::kLeaveExpected;
}

std::optional<core::Duration> RateLimits::LeaveInterval(
    const core::ServiceId& service, core::Instant now) const {
  const auto found = received_.find(service);
  if (found == received_.end()) return std::nullopt;
  const std::deque<core::Instant>& times = found->second;
  const auto first = std::upper_bound(times.begin(), times.end(),
                                      now - internal::kLeaveMemory);
  const auto count = times.end() - first;
  if (count == 0) return std::nullopt;
  return internal::kLeaveMemory / count;
}

void RateLimits::CountRequest(const core::ServiceId& service,
                              core::Instant now) {
  if (!AnyLimited(service)) return;
  std::deque<core::Instant>& times = requests_[service];
  internal::DropBefore(times, now - internal::kNeedWindow);
  times.push_back(now);
}

schema::LimitReport RateLimits::Report(
    const std::map<core::ServiceId, std::size_t>& held, core::Instant now) {
  table_.Expire(now);
  DropExpired(now);
  schema::LimitReport report;
  report.statements = table_.List(kLimitMemory, now);
  constexpr double kWindows =
      std::chrono::duration<double>(kLeaveLifetime) /
      std::chrono::duration<double>(internal::kNeedWindow);
  std::map<core::ServiceId, double> needs;
  for (const auto& [service, times] : requests_) {
    // A leave that is not likely to be used would be lost.
    needs[service] += std::floor(static_cast<double>(times.size()) * kWindows);
  }
  for (const auto& [service, count] : held) {
    if (AnyLimited(service)) needs[service] += static_cast<double>(count);
  }
  for (const auto& [service, need] : needs) {
    const double open = need - static_cast<double>(LeavesOf(service, now));
    if (open < 1) continue;
    report.needs.push_back({service, static_cast<std::uint32_t>(open)});
  }
  return report;
}

}  // namespace foxquay::relay
