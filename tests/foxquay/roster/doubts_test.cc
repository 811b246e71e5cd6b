#include "foxquay/roster/doubts.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace foxquay::roster {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

}  // namespace

TEST_CASE("an upstream is doubted once within the interval") {
  Doubts doubts;
  const core::UpstreamId a("a");
  const core::UpstreamId b("b");
  CHECK(doubts.TakeNew({a}, At(0)) == std::vector{a});
  CHECK(doubts.TakeNew({a, b}, At(100)) == std::vector{b});
  CHECK(doubts.TakeNew({a, b}, At(449)).empty());
  CHECK(doubts.TakeNew({a, b}, At(450)) == std::vector{a});
  CHECK(doubts.TakeNew({a, b}, At(550)) == std::vector{b});
}

// Guards against a load of hosts x upstreams at the leader: every host doubts
// every lost upstream once a second.
TEST_CASE("the doubts of any number of hosts are passed on alike") {
  for (const int hosts : {8, 60, 291, 730}) {
    Doubts doubts;
    std::size_t passed = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
      for (int host = 0; host < hosts; ++host) {
        if (ms % 1000 != host * 1000 / hosts) continue;
        for (int upstream = 0; upstream < 9; ++upstream) {
          passed +=
              doubts
                  .TakeNew({core::UpstreamId(std::to_string(upstream))}, At(ms))
                  .size();
        }
      }
    }
    CHECK(passed <= std::size_t{9} * 10'000 / 450 + 9);
    CHECK(passed >= std::size_t{9} * 10);
  }
}

}  // namespace foxquay::roster
