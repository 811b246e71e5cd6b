#ifndef FOXQUAY_SCHEDULING_RETRY_BUDGET_H_
#define FOXQUAY_SCHEDULING_RETRY_BUDGET_H_

#include <cstddef>
#include <span>

#include "foxquay/core/id.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/lru_map.h"

namespace foxquay::scheduling {

/// Token bucket that allows retries as a share of requests.
///
/// Holds at most kDepth x percent retries, so the retries of any span are
/// bounded by kDepth x percent + percent of its requests.
class RetryBudget {
 public:
  /// Requests whose share the bucket holds when it is full. At the usual 10 %
  /// a full bucket resumes the 50 streams of a failing upstream at once.
  static constexpr double kDepth = 500;

  /// Returns a full bucket.
  [[nodiscard]] static RetryBudget Full(int percent) noexcept;

  /// Counts a first attempt.
  void Deposit(int percent) noexcept;
  /// Returns whether `amount` of a retry is left.
  [[nodiscard]] bool Has(double amount) const noexcept {
    return retries_ >= amount;
  }
  /// Takes `amount` of a retry. Precondition: Has(amount).
  void Withdraw(double amount) noexcept;

 private:
  double retries_ = 0;
};

/// Retry budgets of workspaces and upstreams; a retry needs both. Bounded. Not
/// thread-safe.
class RetryBudgets {
 public:
  RetryBudgets();

  /// Counts a new request of a workspace.
  void CountRequest(const core::WorkspaceId& workspace, int percent);
  /// Counts a leg sent to an upstream.
  void CountLeg(const core::UpstreamId& upstream, int percent);

  /// Takes a retry from the budget of a workspace and, in equal parts, of the
  /// upstreams one of which failed; returns false, taking nothing, if any of
  /// them is used up.
  [[nodiscard]] bool Take(const core::WorkspaceId& workspace,
                          std::span<const core::UpstreamId> failed,
                          int percent);

  /// Returns the number of budgets kept.
  [[nodiscard]] std::size_t size() const noexcept {
    return workspaces_.size() + upstreams_.size();
  }

 private:
  internal::LruMap<core::WorkspaceId, RetryBudget> workspaces_;
  internal::LruMap<core::UpstreamId, RetryBudget> upstreams_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_RETRY_BUDGET_H_
