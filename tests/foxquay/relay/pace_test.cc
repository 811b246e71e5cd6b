#include "foxquay/relay/pace.h"

#include <catch2/catch.hpp>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

}  // namespace

// Some upstreams turn four times slower for seconds and recover.
TEST_CASE("a lag shows within a second and fades without observations") {
  Pace pace;
  int now = 0;
  for (int event = 0; event < 50; ++event) {
    pace.Note(milliseconds(30), At(now += 30));
  }
  CHECK(pace.Lag(At(now)) == core::Duration::zero());
  const int slow_from = now;
  while (now < slow_from + 2000) pace.Note(milliseconds(120), At(now += 60));
  CHECK(pace.Lag(At(now)) > milliseconds(60));
  CHECK(pace.Time(At(now)) > milliseconds(90));
  CHECK(pace.Lag(At(now + 9000)) < milliseconds(10));
}

TEST_CASE("ordinary variation is no lag") {
  Pace pace;
  for (int event = 0; event < 100; ++event) {
    pace.Note(milliseconds(event % 2 == 0 ? 26 : 34), At(event * 30));
  }
  CHECK(pace.Lag(At(3000)) == core::Duration::zero());
}

TEST_CASE("an upstream that was never observed has no lag") {
  const Pace pace;
  CHECK(pace.Lag(At(10)) == core::Duration::zero());
  CHECK(pace.Time(At(10)) == core::Duration::zero());
}

}  // namespace foxquay::relay
