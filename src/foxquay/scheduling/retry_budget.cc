#include "foxquay/scheduling/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace foxquay::scheduling {
namespace {

// The 10,000 workers of the design size and a quarter more.
constexpr std::size_t kMaxUpstreams = 12500;
constexpr double kPercent = 0.01;

}  // namespace

RetryBudget RetryBudget::Full(int percent) noexcept {
  RetryBudget budget;
  budget.retries_ = kDepth * percent * kPercent;
  return budget;
}

void RetryBudget::Deposit(int percent) noexcept {
  const double full = kDepth * percent * kPercent;
  retries_ = std::min(full, retries_ + percent * kPercent);
}

void RetryBudget::Withdraw() noexcept {
  assert(HasRetry() && "a retry is withdrawn only if allowed");
  retries_ -= 1;
}

RetryBudgets::RetryBudgets()
    : workspaces_(kMaxWorkspaces), upstreams_(kMaxUpstreams) {}

void RetryBudgets::CountRequest(const core::WorkspaceId& workspace,
                                int percent) {
  workspaces_.Use(workspace, RetryBudget::Full(percent)).Deposit(percent);
}

void RetryBudgets::CountLeg(const core::UpstreamId& upstream, int percent) {
  upstreams_.Use(upstream, RetryBudget::Full(percent)).Deposit(percent);
}

bool RetryBudgets::Take(const core::WorkspaceId& workspace,
                        const core::UpstreamId& failed, int percent) {
  if (percent <= 0) return false;
  RetryBudget& of_workspace =
      workspaces_.Use(workspace, RetryBudget::Full(percent));
  RetryBudget& of_upstream = upstreams_.Use(failed, RetryBudget::Full(percent));
  if (!of_workspace.HasRetry() || !of_upstream.HasRetry()) return false;
  of_workspace.Withdraw();
  of_upstream.Withdraw();
  return true;
}

}  // namespace foxquay::scheduling
