#include "foxquay/scheduling/commitments.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::scheduling {
namespace {

using std::chrono::seconds;

constexpr core::Instant kNow{seconds(1000)};
constexpr auto kClass = core::TrafficClass::kInteractive;

Commitment Make(const std::string& workspace, core::Duration remaining,
                core::Duration until_start) {
  return {
      core::WorkspaceId(workspace), kClass, {}, remaining, kNow + until_start};
}

/// Returns commitments to ten requests of 4 s each of one workspace, which may
/// start until `until_start` from now.
Commitments Flooded(core::Duration until_start) {
  Commitments commitments;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    commitments.Set(core::RequestId(i), Make("flood", seconds(4), until_start));
  }
  return commitments;
}

}  // namespace

// Guards against one workspace's flood lengthening the estimated wait of
// others.
TEST_CASE("a wait counts its own flow's work and not a flood of others") {
  const Commitments commitments = Flooded(seconds(20));
  CHECK(commitments.Wait(Make("flood", seconds(1), seconds(30)), 4) ==
        seconds(10));
  CHECK(commitments.Wait(Make("quiet", seconds(1), seconds(30)), 4) ==
        seconds(0));
  CHECK(commitments.DrainTime(4) == seconds(10));
}

TEST_CASE("a wait does not count work that may start later") {
  const Commitments commitments = Flooded(seconds(20));
  CHECK(commitments.Wait(Make("flood", seconds(1), seconds(10)), 4) ==
        seconds(0));
}

// Guards against admitting urgent work that makes admitted work miss its
// deadline.
TEST_CASE("a request that would make admitted work late does not fit") {
  const Commitments commitments = Flooded(seconds(10));
  CHECK(commitments.Fits(Make("flood", seconds(1), seconds(1)), kNow, 4));
  CHECK_FALSE(commitments.Fits(Make("flood", seconds(9), seconds(1)), kNow, 4));
  CHECK(commitments.Fits(Make("quiet", seconds(9), seconds(1)), kNow, 4));
}

TEST_CASE("a commitment ends with its request") {
  Commitments commitments = Flooded(seconds(20));
  for (std::uint64_t i = 1; i <= 10; ++i) commitments.Erase(core::RequestId(i));
  commitments.Erase(core::RequestId(99));
  CHECK(commitments.size() == 0);
  CHECK(commitments.DrainTime(4) == seconds(0));
}

// Guards against estimating waits without the work of other flows that arrives
// meanwhile.
TEST_CASE("a wait follows the rate at which the flow is served") {
  Commitments commitments = Flooded(seconds(20));
  const core::WorkspaceId flood("flood");
  commitments.SetBacklogged(flood, kClass, true, kNow);
  for (int i = 1; i <= 200; ++i) {
    commitments.AddServed(flood, kClass, seconds(2), kNow + seconds(i));
  }
  const auto wait =
      commitments.Wait(Make("flood", seconds(1), seconds(300)), 4);
  CHECK(wait > seconds(18));
  CHECK(wait < seconds(21));
}

}  // namespace foxquay::scheduling
