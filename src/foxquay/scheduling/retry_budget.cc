#include "foxquay/scheduling/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace foxquay::scheduling {
namespace {

// Upstreams whose budget is kept: the 10,000 workers of the design size and a
// quarter more.
constexpr std::size_t kMaxUpstreams = 12500;
constexpr double kFractionPerPercent = 0.01;

}  // namespace

RetryBudget RetryBudget::Full(int percent) noexcept {
  RetryBudget budget;
  budget.retries_ = kDepth * percent * kFractionPerPercent;
  return budget;
}

void RetryBudget::Deposit(int percent) noexcept {
  const double full = kDepth * percent * kFractionPerPercent;
  retries_ = std::min(full, retries_ + percent * kFractionPerPercent);
}

void RetryBudget::Withdraw(double amount) noexcept {
  assert(Has(amount) && "withdrawal exceeds the retries left");
  retries_ -= amount;
}

RetryBudgets::RetryBudgets()
    : workspaces_(kMaxWorkspaces), upstreams_(kMaxUpstreams) {}

void RetryBudgets::CountRequest(const core::WorkspaceId& workspace,
                                int percent) {
  workspaces_.GetOrCreate(workspace, RetryBudget::Full(percent))
      .Deposit(percent);
}

void RetryBudgets::CountLeg(const core::UpstreamId& upstream, int percent) {
  upstreams_.GetOrCreate(upstream, RetryBudget::Full(percent)).Deposit(percent);
}

bool RetryBudgets::Take(const core::WorkspaceId& workspace,
                        std::span<const core::UpstreamId> failed, int percent) {
  if (percent <= 0) return false;
  const RetryBudget full = RetryBudget::Full(percent);
  const double share = 1.0 / static_cast<double>(failed.size());
  RetryBudget& workspace_budget = workspaces_.GetOrCreate(workspace, full);
  if (!workspace_budget.Has(1)) return false;
  for (const core::UpstreamId& upstream : failed) {
    if (!upstreams_.GetOrCreate(upstream, full).Has(share)) return false;
  }
  workspace_budget.Withdraw(1);
  for (const core::UpstreamId& upstream : failed) {
    upstreams_.GetOrCreate(upstream, full).Withdraw(share);
  }
  return true;
}

}  // namespace foxquay::scheduling
