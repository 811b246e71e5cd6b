#include "foxquay/relay/retry_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

#include "retry_limit.h"

namespace foxquay::relay {
namespace {

core::Instant At(int ms) {
  return core::Instant(std::chrono::milliseconds(ms));
}

}  // namespace

// Unlimited retries would overload the remaining upstreams when many fail at
// once.
TEST_CASE("retries of all hosts stay within ratio and slack in every window") {
  rc::check("sliding windows hold the bound", [] {
    const BudgetOptions options{0.2, 40, std::chrono::seconds(10)};
    constexpr std::size_t kHosts = 4;
    const core::ServiceId service("s");
    std::vector<RetryBudget> hosts(kHosts, RetryBudget(options));
    for (RetryBudget& host : hosts) host.SetHosts(kHosts, At(0));
    std::vector<int> requests;
    std::vector<int> retries;
    const int period = *rc::gen::inRange(5, 200);
    const int busy_until = *rc::gen::inRange(1000, 30000);
    for (int ms = 0; ms < 40000; ms += period) {
      RetryBudget& host = hosts[static_cast<std::size_t>(ms / period) % kHosts];
      if (ms < busy_until) {
        host.CountRequest(service, At(ms));
        requests.push_back(ms);
      }
      if (host.TakeRetry(service, At(ms))) retries.push_back(ms);
    }
    RC_ASSERT(WithinLimit(requests, retries, options));
  });
}

// Guards against exceeding the slack when all hosts restart: each divides it by
// the few hosts that it knows so far and has no record of the retries sent
// before. This happened with 68 hosts after a power loss.
TEST_CASE("hosts that restart together stay within the slack of one window") {
  const BudgetOptions options{0, 320, std::chrono::seconds(10)};
  constexpr std::size_t kHosts = 68;
  const core::ServiceId service("s");
  int sent = 0;
  const auto spend = [&](RetryBudget& host, int ms) {
    while (host.TakeRetry(service, At(ms))) ++sent;
  };
  for (std::size_t at = 0; at < kHosts; ++at) {
    RetryBudget before(options);
    before.SetHosts(kHosts, At(0));
    spend(before, 20000);
    RetryBudget after(options);
    after.Start(At(21000));
    spend(after, 21010);
    for (int ms = 21100; ms < 30000; ms += 100) {
      const auto known = static_cast<std::size_t>(ms - 21000) / 30;
      after.SetHosts(std::min(kHosts, known), At(ms));
      spend(after, ms);
    }
  }
  CHECK(sent <= 320);
  CHECK(sent > 160);
}

TEST_CASE(
    "a remaining host gets the slack of hosts that left one window later") {
  RetryBudget budget({0, 10, std::chrono::seconds(10)});
  const core::ServiceId service("s");
  budget.SetHosts(8, At(0));
  CHECK(budget.TakeRetry(service, At(1)));
  CHECK_FALSE(budget.TakeRetry(service, At(2)));
  budget.SetHosts(1, At(3));
  CHECK_FALSE(budget.TakeRetry(service, At(4)));
  budget.SetHosts(1, At(10010));
  CHECK(budget.TakeRetry(service, At(10011)));
  CHECK(budget.TakeRetry(service, At(10012)));
}

// Guards against hedges that use the retries of requests that have failed, with
// an allowance and after the control host has fallen silent.
TEST_CASE("retries that are not needed leave half of the limit") {
  const core::ServiceId app("app");
  RetryBudget budget({0, 10, std::chrono::seconds(10)});
  budget.SetHosts(1, core::Instant());
  budget.SetAllowance(app, 6, core::Instant());
  const auto take = [&](core::Instant now) {
    int taken = 0;
    while (budget.TakeSpareRetry(app, now)) ++taken;
    return taken;
  };
  CHECK(take(core::Instant()) == 3);
  CHECK(budget.TakeRetry(app, core::Instant()));
  CHECK(budget.TakeRetry(app, core::Instant()));
  CHECK(budget.TakeRetry(app, core::Instant()));
  CHECK_FALSE(budget.TakeRetry(app, core::Instant()));
  // Without an allowance, 0.4 of 0.8 x 10.
  CHECK(take(core::Instant(std::chrono::seconds(11))) == 1);
}

}  // namespace foxquay::relay
