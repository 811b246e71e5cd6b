#include "foxquay/relay/retry_pool.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

/// Time for which the pool counts a grant. Longer than the follower does, whose
/// time starts when the reply arrives.
constexpr core::Duration kGrantLifetime =
    kAllowanceLifetime + std::chrono::seconds(1);

/// Fraction of the unused part of the pool that is granted in advance.
constexpr double kAdvanceFraction = 0.5;

}  // namespace internal

double RetryPool::Outstanding(const Account& account, core::Instant now) {
  double outstanding = std::max(kBaseFraction * account.share, account.used);
  if (now < account.granted_until) {
    outstanding = std::max(outstanding, account.granted);
  }
  if (now < account.former_until) {
    outstanding = std::max(outstanding, account.former);
  }
  return outstanding;
}

void RetryPool::Report(Account& account, const Follower& follower,
                       const schema::RetryUsage& usage, std::size_t hosts,
                       core::Instant now) const {
  const bool restarted =
      account.incarnation != 0 && account.incarnation != follower.incarnation;
  if (restarted) {
    account.former = Outstanding(account, now);
    account.former_until = now + options_.window;
    account.granted = 0;
  }
  account.incarnation = follower.incarnation;
  account.share = ShareOfLimit(options_, usage.requests, hosts);
  account.used = usage.retries;
  account.reported_at = now;
  // A follower may hold a grant of the control host that it followed before.
  if (usage.allowance > account.granted) {
    account.granted = usage.allowance;
    account.granted_until = now + internal::kGrantLifetime;
  }
}

double RetryPool::Allow(const Accounts& accounts, const core::HostId& follower,
                        core::Instant now) {
  double pool = 0;
  double needed = 0;
  double others = 0;
  for (const auto& [host, account] : accounts) {
    pool += account.share;
    needed += std::max(kBaseFraction * account.share, account.used);
    if (host != follower) others += Outstanding(account, now);
  }
  const Account& own = accounts.at(follower);
  const double base = std::max(kBaseFraction * own.share, own.used);
  const double advance = internal::kAdvanceFraction *
                         std::max(0.0, pool - needed) /
                         static_cast<double>(accounts.size());
  return std::clamp(base + advance, kBaseFraction * own.share,
                    std::max(kBaseFraction * own.share, pool - others));
}

void RetryPool::DropSilent(Accounts& accounts, core::Instant now) const {
  // What a silent follower has used counts until it has left the window, its
  // share no longer.
  for (auto& [host, account] : accounts) {
    if (now - account.reported_at > internal::kGrantLifetime) account.share = 0;
  }
  std::erase_if(accounts, [this, now](const auto& item) {
    const Account& account = item.second;
    return now - account.reported_at > options_.window &&
           now >= account.former_until;
  });
}

std::vector<schema::RetryAllowance> RetryPool::Grant(
    const Follower& follower, const std::vector<schema::RetryUsage>& usage,
    std::size_t hosts, core::Instant now) {
  std::vector<schema::RetryAllowance> allowances;
  for (const schema::RetryUsage& report : usage) {
    Accounts& accounts = services_[report.service];
    DropSilent(accounts, now);
    Account& account = accounts[follower.host];
    Report(account, follower, report, hosts, now);
    const double allowed = Allow(accounts, follower.host, now);
    if (allowed < account.granted && now < account.granted_until) {
      account.former = std::max(now < account.former_until ? account.former : 0,
                                account.granted);
      account.former_until =
          std::max(account.former_until, account.granted_until);
    }
    account.granted = allowed;
    account.granted_until = now + internal::kGrantLifetime;
    allowances.push_back({report.service, allowed});
  }
  return allowances;
}

}  // namespace foxquay::relay
