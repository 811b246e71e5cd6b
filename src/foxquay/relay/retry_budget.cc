#include "foxquay/relay/retry_budget.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

/// Fraction of the slack that is used in the first window after a start. The
/// previous process may have used the other fraction in the same window.
constexpr double kSlackFractionAfterStart = 1 - relay::kUsableFraction;

/// Time after a start within which a host learns of all other hosts.
constexpr core::Duration kDiscoveryTime = std::chrono::seconds(3);

/// Fraction of the retries that may be used while no request has failed.
constexpr double kSpareFraction = 0.5;

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
    return kUsableFraction;
  }
  return now - *started_ < internal::kDiscoveryTime
             ? 0
             : internal::kSlackFractionAfterStart;
}

double ShareOfLimit(const BudgetOptions& options, std::size_t requests,
                    std::size_t hosts) {
  return kUsableFraction *
         (options.ratio * static_cast<double>(requests) +
          options.slack / static_cast<double>(std::max<std::size_t>(1, hosts)));
}

double RetryBudget::Limit(const Counts& counts, core::Instant now) const {
  const std::size_t hosts = hosts_ == 0 ? internal::kAssumedHosts : hosts_;
  const double fraction = SlackFraction(now);
  if (fraction < kUsableFraction) {
    return kUsableFraction * options_.ratio *
               static_cast<double>(counts.requests.size()) +
           fraction * options_.slack / static_cast<double>(hosts);
  }
  const double share = ShareOfLimit(options_, counts.requests.size(), hosts);
  if (!counts.has_had_allowance) return share;
  const double base = kBaseFraction * share;
  return now < counts.allowance_end ? std::max(base, counts.allowance) : base;
}

void RetryBudget::SetAllowance(const core::ServiceId& service, double retries,
                               core::Instant now) {
  Counts& counts = services_[service];
  counts.allowance = retries;
  counts.allowance_end = now + kAllowanceLifetime;
  counts.has_had_allowance = true;
}

std::vector<schema::RetryUsage> RetryBudget::Usage(core::Instant now) {
  std::vector<schema::RetryUsage> usage;
  for (auto& [service, counts] : services_) {
    DropExpired(counts, now);
    usage.push_back({service,
                     static_cast<std::uint32_t>(counts.requests.size()),
                     static_cast<std::uint32_t>(counts.retries.size()),
                     now < counts.allowance_end ? counts.allowance : 0});
  }
  return usage;
}

bool RetryBudget::CanRetry(const core::ServiceId& service, core::Instant now) {
  Counts& counts = services_[service];
  DropExpired(counts, now);
  return static_cast<double>(counts.retries.size()) + 1 <= Limit(counts, now);
}

bool RetryBudget::TakeSpareRetry(const core::ServiceId& service,
                                 core::Instant now) {
  Counts& counts = services_[service];
  DropExpired(counts, now);
  const double limit = internal::kSpareFraction * Limit(counts, now);
  if (static_cast<double>(counts.retries.size()) + 1 > limit) return false;
  counts.retries.push_back(now);
  return true;
}

bool RetryBudget::TakeRetry(const core::ServiceId& service, core::Instant now) {
  if (!CanRetry(service, now)) return false;
  services_[service].retries.push_back(now);
  return true;
}

}  // namespace foxquay::relay
