#include "foxquay/scheduling/retry_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace foxquay::scheduling {
namespace {

const core::WorkspaceId kWorkspace("w");
const std::vector<core::UpstreamId> kUpstreams{core::UpstreamId("u")};

}  // namespace

// Guards against retry storms: more retries than the percentage of requests.
TEST_CASE("retries stay within their share of requests", "[fuzz]") {
  REQUIRE(rc::check([](const std::vector<bool>& retries) {
    constexpr int kPercent = 10;
    RetryBudgets budgets;
    double taken = 0;
    double requests = 0;
    // Empties the full bucket first, so that only new requests allow retries.
    while (budgets.Take(kWorkspace, kUpstreams, kPercent)) ++taken;
    RC_ASSERT(taken <= RetryBudget::kDepth * kPercent / 100);
    taken = 0;
    for (const bool retry : retries) {
      if (retry) {
        if (budgets.Take(kWorkspace, kUpstreams, kPercent)) ++taken;
      } else {
        budgets.CountRequest(kWorkspace, kPercent);
        budgets.CountLeg(kUpstreams.front(), kPercent);
        ++requests;
      }
      RC_ASSERT(taken <= requests * kPercent / 100 + 1e-6);
    }
  }));
}

// Guards against one failing upstream using up the retries of all workspaces.
TEST_CASE("an upstream's budget bounds the retries it causes") {
  RetryBudgets budgets;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    const core::WorkspaceId workspace("w" + std::to_string(i));
    if (budgets.Take(workspace, kUpstreams, 10)) ++taken;
  }
  CHECK(taken == 50);
  CHECK(budgets.Take(core::WorkspaceId("w0"),
                     std::vector{core::UpstreamId("other")}, 10));
}

// Guards against retries of one workspace that grow with the number of failing
// upstreams.
TEST_CASE("a workspace's budget bounds its retries") {
  RetryBudgets budgets;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::vector<core::UpstreamId> upstream{
        core::UpstreamId("u" + std::to_string(i))};
    if (budgets.Take(kWorkspace, upstream, 10)) ++taken;
  }
  CHECK(taken == 50);
  CHECK(budgets.Take(core::WorkspaceId("other"), kUpstreams, 10));
}

TEST_CASE("a budget of zero allows no retry") {
  RetryBudgets budgets;
  CHECK_FALSE(budgets.Take(kWorkspace, kUpstreams, 0));
}

// Guards against memory that grows with every workspace ever seen.
TEST_CASE("retry budgets are bounded") {
  RetryBudgets budgets;
  for (int i = 0; i < 20000; ++i) {
    budgets.CountRequest(core::WorkspaceId(std::to_string(i)), 10);
  }
  CHECK(budgets.size() <= kMaxWorkspaces);
}

}  // namespace foxquay::scheduling
