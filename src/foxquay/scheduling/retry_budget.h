#ifndef FOXQUAY_SCHEDULING_RETRY_BUDGET_H_
#define FOXQUAY_SCHEDULING_RETRY_BUDGET_H_

#include <cstddef>
#include <span>

#include "foxquay/core/id.h"
#include "foxquay/core/lru_map.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Token bucket that limits retries to a percentage of requests.
///
/// It holds at most `percent` of kDepth retries, so the retries in any span of
/// time are at most `percent` of kDepth plus `percent` of the requests in it.
/// `percent` in all members is the allowed percentage. Not thread-safe.
class RetryBudget {
 public:
  /// Number of requests whose retries fill the bucket. With the usual 10 % a
  /// full bucket allows 50 retries, enough to resume the 50 streams of a failed
  /// upstream at once.
  static constexpr double kDepth = 500;

  /// Returns a full bucket.
  [[nodiscard]] static RetryBudget Full(int percent) noexcept;

  /// Adds the retries that one first attempt allows.
  void Deposit(int percent) noexcept;
  /// Returns whether `amount` retries are left; `amount` may be a fraction.
  [[nodiscard]] bool Has(double amount) const noexcept {
    return retries_ >= amount;
  }
  /// Takes `amount` retries. Precondition: Has(amount).
  void Withdraw(double amount) noexcept;

 private:
  double retries_ = 0;
};

/// Retry budgets of workspaces and upstreams; a retry needs both. Keeps a
/// bounded number of budgets, those used last. Not thread-safe.
class RetryBudgets {
 public:
  RetryBudgets();

  /// Counts a new request of a workspace.
  void CountRequest(const core::WorkspaceId& workspace, int percent);
  /// Counts a leg sent to an upstream.
  void CountLeg(const core::UpstreamId& upstream, int percent);

  /// Takes one retry from the budget of a workspace and, in equal parts, from
  /// those of `failed`, the upstreams one of which failed. Returns false and
  /// takes nothing if one of the budgets is used up or `percent` is not
  /// positive. If `failed` is empty, only the budget of the workspace counts.
  [[nodiscard]] bool Take(const core::WorkspaceId& workspace,
                          std::span<const core::UpstreamId> failed,
                          int percent);

  /// Returns the number of budgets kept.
  [[nodiscard]] std::size_t size() const noexcept {
    return workspaces_.size() + upstreams_.size();
  }

 private:
  core::LruMap<core::WorkspaceId, RetryBudget> workspaces_;
  core::LruMap<core::UpstreamId, RetryBudget> upstreams_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_RETRY_BUDGET_H_
