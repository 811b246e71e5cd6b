#include "foxquay/gateway/drain_plan.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "foxquay/gateway/answer_times.h"

namespace foxquay::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Instant kStart{seconds(100)};

}  // namespace

TEST_CASE("final answers are given before the process ends") {
  const core::Duration grace =
      GENERATE(milliseconds(1000), milliseconds(4000), milliseconds(30000));
  const DrainPlan plan(kStart, grace);
  CHECK(plan.accept_until() < plan.answer_by());
  CHECK(plan.answer_by() < plan.end_by());
  CHECK(plan.end_by() < kStart + grace);
  // Upstreams that are at work until then may be cut off.
  CHECK(plan.answer_by() > kStart + grace * 5 / 6);
}

TEST_CASE("a request is taken in a drain only if it usually ends in time") {
  const DrainPlan plan(kStart, seconds(8));
  const core::Instant late = plan.accept_until() - milliseconds(1);
  const core::Instant far = kStart + seconds(30);
  CHECK(plan.Takes({false, far, std::nullopt}, late));
  CHECK(plan.Takes({false, far, seconds(4)}, late));
  CHECK(plan.Takes({false, far, seconds(7)}, kStart));
  CHECK_FALSE(plan.Takes({false, far, seconds(7)}, late));
  // Its deadline ends it first.
  CHECK(plan.Takes({false, late + seconds(4), seconds(7)}, late));
  CHECK_FALSE(plan.Takes({false, far, milliseconds(1)}, plan.accept_until()));
}

TEST_CASE("a request that has not started ends once it has no time left") {
  const DrainPlan plan(kStart, seconds(8));
  const core::Instant far = kStart + seconds(30);
  const core::Instant now = kStart + seconds(5);
  CHECK(plan.Ends({false, far, seconds(4)}, now));
  CHECK_FALSE(plan.Ends({true, far, seconds(4)}, now));
  CHECK_FALSE(plan.Ends({false, now + seconds(1), seconds(4)}, now));
  CHECK_FALSE(plan.Ends({false, far, seconds(1)}, now));
  CHECK(plan.Ends({true, far, milliseconds(1)}, plan.answer_by()));
}

// Of requests that came late in the grace period and lasted as long as it, most
// were cut off.
TEST_CASE("few requests of a slow route are given up at the end of a drain") {
  const DrainPlan plan(kStart, seconds(8));
  AnswerTimes times;
  const RouteKey route{"h", "/slow/"};
  const auto duration = [](int number) {
    return milliseconds(3000 + number % 10 * 300);
  };
  for (int number = 0; number < 200; ++number) {
    times.Record(route, duration(number));
  }
  int taken = 0;
  int given_up = 0;
  int refused = 0;
  for (int number = 0; number < 400; ++number) {
    const core::Instant now = kStart + milliseconds(10) * number;
    if (!plan.Takes({false, now + seconds(25), times.Usual(route)}, now)) {
      ++refused;
      continue;
    }
    ++taken;
    if (now + duration(number) >= plan.answer_by()) ++given_up;
  }
  CAPTURE(taken, refused, given_up);
  CHECK(taken > 100);
  CHECK(given_up * 10 <= taken);
}

TEST_CASE("the usual time of a route follows its requests") {
  AnswerTimes times;
  const RouteKey route{"h", "/r/"};
  CHECK_FALSE(times.Usual(route));
  for (int number = 0; number < 200; ++number) {
    times.Record(route, milliseconds(100 + number % 10 * 10));
  }
  CHECK(*times.Usual(route) > milliseconds(150));
  CHECK(*times.Usual(route) < milliseconds(240));
  for (int number = 0; number < 40; ++number) {
    times.Record(route, seconds(2));
  }
  CHECK(*times.Usual(route) > seconds(1));
  CHECK_FALSE(times.Usual({"h", "/other/"}));
}

}  // namespace foxquay::gateway
