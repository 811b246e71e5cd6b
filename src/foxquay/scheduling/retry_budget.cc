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

void RetryBudget::Withdraw(double part) noexcept {
  assert(Has(part) && "a retry is withdrawn only if allowed");
  retries_ -= part;
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
                        std::span<const core::UpstreamId> failed, int percent) {
  if (percent <= 0) return false;
  const RetryBudget full = RetryBudget::Full(percent);
  const double part = 1.0 / static_cast<double>(failed.size());
  RetryBudget& of_workspace = workspaces_.Use(workspace, full);
  if (!of_workspace.Has(1)) return false;
  for (const core::UpstreamId& upstream : failed) {
    if (!upstreams_.Use(upstream, full).Has(part)) return false;
  }
  of_workspace.Withdraw(1);
  for (const core::UpstreamId& upstream : failed) {
    upstreams_.Use(upstream, full).Withdraw(part);
  }
  return true;
}

}  // namespace foxquay::scheduling
