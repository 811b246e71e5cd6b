#include "foxquay/relay/limit_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "foxquay/core/hash.h"
#include "foxquay/relay/rate_limits.h"

namespace foxquay::relay {
namespace internal {

using Seconds = std::chrono::duration<double>;

/// Time whose part of a limit a bucket holds at most; a poll interval. A bucket
/// holds at least one request.
constexpr Seconds kBucketTime(0.25);

/// Interval at which an unchanged statement is passed on again, below the time
/// in which it would be outdated by an answer without a limit.
constexpr core::Duration kShareInterval = std::chrono::seconds(1);

/// Factor on a follower's part by need, so that needs which have just changed
/// leave nothing over.
constexpr double kNeedMargin = 1.5;

}  // namespace internal

void LimitPool::Record(const std::vector<schema::LimitStatement>& statements,
                       core::Instant now) {
  for (const schema::LimitStatement& statement : statements) {
    table_.Record(statement, now);
  }
}

void LimitPool::DropSilent(core::Instant now) {
  std::erase_if(followers_, [now](const auto& item) {
    return now - item.second.polled_at >= kFollowerSilence;
  });
  table_.Expire(now);
  std::erase_if(buckets_, [this](const auto& item) {
    return !table_.limits().contains(item.first);
  });
}

double LimitPool::OwnRate(const core::UpstreamId& upstream, double limit,
                          const LimitHosts& hosts) const {
  const auto controls = static_cast<double>(hosts.controls.size());
  if (limit < controls) {
    const std::uint64_t seed = core::Hash(upstream.value());
    const auto owner = std::min_element(
        hosts.controls.begin(), hosts.controls.end(),
        [seed](const core::HostId& left, const core::HostId& right) {
          return core::Hash(left.value(), seed) <
                 core::Hash(right.value(), seed);
        });
    return *owner == hosts.self ? limit : 0;
  }
  const std::size_t all = std::max(hosts.entry_hosts, followers_.size());
  return limit * static_cast<double>(followers_.size()) /
         static_cast<double>(all);
}

double LimitPool::TotalNeed(const core::ServiceId& service) const {
  double total = 0;
  for (const auto& [host, follower] : followers_) {
    const auto need = follower.needs.find(service);
    if (need != follower.needs.end()) total += need->second;
  }
  return total;
}

std::vector<schema::LimitLeave> LimitPool::Grant(
    const core::HostId& follower, const std::vector<schema::LimitNeed>& needs,
    const LimitHosts& hosts, core::Instant now) {
  Follower& own = followers_[follower];
  own.polled_at = now;
  own.needs.clear();
  for (const schema::LimitNeed& need : needs) {
    own.needs[need.service] = need.requests;
  }
  DropSilent(now);
  std::vector<schema::LimitLeave> leaves;
  if (needs.empty() || now - started_ < kPoolWarmUp) return leaves;
  std::map<core::ServiceId, double> total;
  for (const schema::LimitNeed& need : needs) {
    total[need.service] = TotalNeed(need.service);
  }
  std::vector<core::UpstreamId> upstreams;
  for (const auto& [upstream, limit] : table_.limits()) {
    if (limit.rate) upstreams.push_back(upstream);
  }
  if (upstreams.empty()) return leaves;
  std::rotate(upstreams.begin(),
              upstreams.begin() +
                  static_cast<std::ptrdiff_t>(next_first_++ % upstreams.size()),
              upstreams.end());
  for (const core::UpstreamId& upstream : upstreams) {
    const LimitTable::Limit& limit = table_.limits().at(upstream);
    const double rate = OwnRate(upstream, *limit.rate, hosts);
    Bucket& bucket =
        buckets_.try_emplace(upstream, Bucket{0, now}).first->second;
    const double filled =
        rate * internal::Seconds(now - bucket.filled_at).count();
    bucket.tokens =
        std::min(bucket.tokens + filled,
                 std::max(1.0, rate * internal::kBucketTime.count()));
    bucket.filled_at = now;
    const auto need = own.needs.find(limit.service);
    if (need == own.needs.end() || need->second == 0 || bucket.tokens < 1) {
      continue;
    }
    const double part =
        std::ceil(internal::kNeedMargin * rate *
                  internal::Seconds(kLeaveLifetime).count() * need->second /
                  std::max(1.0, total[limit.service]));
    const auto given = static_cast<std::uint32_t>(
        std::min({std::floor(bucket.tokens), std::max(1.0, part),
                  static_cast<double>(need->second)}));
    bucket.tokens -= given;
    need->second -= given;
    leaves.push_back({upstream, limit.born, given});
  }
  return leaves;
}

std::vector<schema::LimitStatement> LimitPool::TakeNews(core::Instant now) {
  std::vector<schema::LimitStatement> news = table_.List(kLimitMemory, now);
  std::erase_if(news, [this, now](const schema::LimitStatement& statement) {
    const core::Instant stated_at = now - statement.age;
    const auto [shared, added] =
        shared_.try_emplace(statement.upstream, stated_at, statement.limit);
    if (added) return false;
    const bool known =
        shared->second.second == statement.limit &&
        stated_at - shared->second.first < internal::kShareInterval;
    if (!known) shared->second = {stated_at, statement.limit};
    return known;
  });
  std::erase_if(shared_, [this](const auto& item) {
    return !table_.limits().contains(item.first);
  });
  return news;
}

}  // namespace foxquay::relay
