#ifndef FOXQUAY_RELAY_RETRY_POOL_H_
#define FOXQUAY_RELAY_RETRY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/relay/retry_budget.h"
#include "foxquay/schema/peer.h"

namespace foxquay::relay {

/// A process that follows a control host.
struct Follower {
  core::HostId host;
  std::uint64_t incarnation = 0;
};

/// Distributes the retries of the hosts that follow one control host.
///
/// The pool is the sum of the followers' shares (ShareOfLimit). A follower may
/// use the larger of its base and what it has used already, and an equal part
/// of half of what is left; no more is granted than the pool holds beyond the
/// grants that are still valid. Answers the loss of an upstream, after which a
/// few hosts need many retries and most need none. The pool keeps nothing that
/// a restart would lose: followers report what they have used and hold. Not
/// thread-safe; performs no I/O.
class RetryPool {
 public:
  explicit RetryPool(const BudgetOptions& options) : options_(options) {}

  /// Returns the allowances of a follower that reports `usage`. `hosts` is the
  /// number of hosts that share the slack.
  [[nodiscard]] std::vector<schema::RetryAllowance> Grant(
      const Follower& follower, const std::vector<schema::RetryUsage>& usage,
      std::size_t hosts, core::Instant now);

 private:
  /// One follower's use of one service's budget.
  struct Account {
    std::uint64_t incarnation = 0;
    double share = 0;
    double used = 0;
    double granted = 0;
    core::Instant granted_until;
    /// A larger grant before, which the follower may still use, or what its
    /// previous process may have used.
    double former = 0;
    core::Instant former_until;
    core::Instant reported_at;
  };
  using Accounts = std::map<core::HostId, Account>;

  /// Returns the retries that a follower may have used or still use.
  [[nodiscard]] static double Outstanding(const Account& account,
                                          core::Instant now);
  /// Records the report of a follower.
  void Report(Account& account, const Follower& follower,
              const schema::RetryUsage& usage, std::size_t hosts,
              core::Instant now) const;
  /// Removes the shares of followers that no longer report.
  void DropSilent(Accounts& accounts, core::Instant now) const;
  /// Returns the retries that `follower` may use.
  [[nodiscard]] static double Allow(const Accounts& accounts,
                                    const core::HostId& follower,
                                    core::Instant now);

  BudgetOptions options_;
  std::map<core::ServiceId, Accounts> services_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RETRY_POOL_H_
