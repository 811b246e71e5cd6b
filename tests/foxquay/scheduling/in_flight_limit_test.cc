#include "foxquay/scheduling/in_flight_limit.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace foxquay::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reports `gap` as the time between tokens of an upstream at its limit for
/// `span` and advances `now` by it.
void Run(InFlightLimit& limit, core::Instant& now, core::Duration gap,
         core::Duration span) {
  const core::Instant end = now + span;
  while (now < end) {
    now += gap / limit.limit();
    limit.ObserveToken(gap, limit.limit(), now);
  }
}

}  // namespace

// Guards against a slow upstream that keeps its traffic, loses all of it, or
// gets all of it back at once when it recovers.
TEST_CASE("a slow upstream loses its limit in seconds and regains it slowly") {
  core::Instant now = core::Instant(seconds(100));
  InFlightLimit limit(16);
  Run(limit, now, milliseconds(20), seconds(5));
  CHECK(limit.limit() == 16);
  Run(limit, now, milliseconds(200), seconds(4));
  CHECK(limit.limit() == 1);
  Run(limit, now, milliseconds(20), seconds(4));
  CHECK(limit.limit() > 1);
  CHECK(limit.limit() <= 8);
  Run(limit, now, milliseconds(20), seconds(20));
  CHECK(limit.limit() == 16);
}

// Guards against missing a queue at the upstream, which delays only the first
// token of each leg.
TEST_CASE("a late first token lowers the limit") {
  core::Instant now = core::Instant(seconds(100));
  InFlightLimit limit(16);
  for (int i = 0; i < 20; ++i) {
    limit.ObserveFirstToken(milliseconds(100), 16, now += milliseconds(50));
  }
  for (int i = 0; i < 10; ++i) {
    limit.ObserveFirstToken(milliseconds(900), 16, now += milliseconds(50));
  }
  CHECK(limit.limit() == 8);
}

// Guards against taking the zero gap of tokens that arrive together as the
// minimum latency.
TEST_CASE("tokens that arrive in groups do not lower the limit") {
  core::Instant now = core::Instant(seconds(100));
  InFlightLimit limit(16);
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(i % 2 == 0 ? 40 : 0);
    limit.ObserveToken(milliseconds(i % 2 == 0 ? 40 : 0), 16, now);
  }
  CHECK(limit.limit() == 16);
}

TEST_CASE("a new maximum applies at once") {
  InFlightLimit limit(16);
  limit.SetMaximum(4);
  CHECK(limit.limit() == 4);
  limit.SetMaximum(32);
  CHECK(limit.limit() == 32);
}

// Guards against a limit outside its bounds under any sequence of samples.
TEST_CASE("a limit stays between 1 and its maximum", "[fuzz]") {
  REQUIRE(rc::check([](const std::vector<std::uint16_t>& samples) {
    core::Instant now = core::Instant(seconds(100));
    InFlightLimit limit(12);
    for (const std::uint16_t sample : samples) {
      now += milliseconds(sample);
      if (sample % 5 == 0) limit.ObserveFailure(now);
      if (sample % 2 == 0)
        limit.ObserveToken(milliseconds(sample), sample % 13, now);
      if (sample % 3 == 0)
        limit.ObserveFirstToken(milliseconds(sample), sample % 13, now);
      RC_ASSERT(limit.limit() >= 1U);
      RC_ASSERT(limit.limit() <= 12U);
    }
  }));
}

}  // namespace foxquay::scheduling
