#include "foxquay/relay/retry_budget.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

/// Part of the bound that is used: requests that age out of the window while
/// their repeats remain must not take the sum over it.
constexpr double kUsableFraction = 0.8;

/// Part of the slack that is used in the first window after a start; the former
/// process may have used the other part in the same window.
constexpr double kSlackFractionAfterStart = 1 - kUsableFraction;

/// Time after a start in which a host hears of all others.
constexpr core::Duration kDiscoveryTime = std::chrono::seconds(3);

/// Hosts assumed before any other is known.
constexpr std::size_t kAssumedHosts = 8;

}  // namespace internal

void RetryBudget::SetHosts(std::size_t hosts, core::Instant now) {
  hosts = std::max<std::size_t>(hosts, 1);
  if (hosts >= hosts_) {
    hosts_ = hosts;
    pending_hosts_ = 0;
    return;
  }
  if (pending_hosts_ != hosts) {
    pending_hosts_ = hosts;
    pending_since_ = now;
  } else if (now - pending_since_ >= options_.window) {
    hosts_ = hosts;
  }
}

void RetryBudget::DropExpired(Counts& counts, core::Instant now) const {
  const auto drop = [&](std::deque<core::Instant>& times) {
    while (!times.empty() && now - times.front() >= options_.window) {
      times.pop_front();
    }
  };
  drop(counts.requests);
  drop(counts.retries);
}

void RetryBudget::CountRequest(const core::ServiceId& service,
                               core::Instant now) {
  Counts& counts = services_[service];
  DropExpired(counts, now);
  counts.requests.push_back(now);
}

double RetryBudget::SlackFraction(core::Instant now) const {
  if (!started_ || now - *started_ >= options_.window) {
    return internal::kUsableFraction;
  }
  return now - *started_ < internal::kDiscoveryTime
             ? 0
             : internal::kSlackFractionAfterStart;
}

bool RetryBudget::CanRetry(const core::ServiceId& service, core::Instant now) {
  Counts& counts = services_[service];
  DropExpired(counts, now);
  const std::size_t hosts = hosts_ == 0 ? internal::kAssumedHosts : hosts_;
  const double bound =
      internal::kUsableFraction * options_.ratio *
          static_cast<double>(counts.requests.size()) +
      SlackFraction(now) * options_.slack / static_cast<double>(hosts);
  return static_cast<double>(counts.retries.size()) + 1 <= bound;
}

bool RetryBudget::TakeRetry(const core::ServiceId& service, core::Instant now) {
  if (!CanRetry(service, now)) return false;
  services_[service].retries.push_back(now);
  return true;
}

}  // namespace foxquay::relay
