#include "foxquay/relay/retry_budget.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

/// Fraction of the limit that is used. The margin keeps the sum within the
/// limit when requests have left the window and their retries have not.
constexpr double kUsableFraction = 0.8;

/// Fraction of the slack that is used in the first window after a start. The
/// previous process may have used the other fraction in the same window.
constexpr double kSlackFractionAfterStart = 1 - kUsableFraction;

/// Time after a start within which a host learns of all other hosts.
constexpr core::Duration kDiscoveryTime = std::chrono::seconds(3);

/// Number of hosts assumed until SetHosts is called.
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
