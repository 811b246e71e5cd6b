#include "foxquay/relay/hedge_policy.h"

#include <catch2/catch.hpp>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::ServiceId kApp("app");
const core::UpstreamId kSlow("slow");
const core::UpstreamId kFast("fast");

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

HedgePolicy MakePolicy(double ratio) {
  HedgePolicy policy;
  policy.SetOptions({ratio});
  return policy;
}

/// Records answers of 1 to `count` milliseconds.
void RecordAnswers(HedgePolicy& policy, const core::UpstreamId& upstream,
                   int count, int factor = 1) {
  for (int ms = 1; ms <= count; ++ms) {
    policy.RecordAnswer(kApp, upstream, milliseconds(ms * factor), At(0));
  }
}

}  // namespace

// Guards against a slow upstream whose own answers raise the delay of its
// requests until none is slow by comparison.
TEST_CASE("the delay is a quantile of the answers of other upstreams") {
  HedgePolicy policy = MakePolicy(0.1);
  RecordAnswers(policy, kFast, 100);
  RecordAnswers(policy, kSlow, 100, 50);
  const auto delay = policy.Delay(kApp, kSlow, milliseconds(4), At(10));
  REQUIRE(delay);
  CHECK(*delay == milliseconds(91));
  CHECK(*policy.Delay(kApp, kFast, milliseconds(4), At(10)) > seconds(4));
}

// Guards against second sends that no caller notices.
TEST_CASE("the delay is a part of the target latency at least") {
  HedgePolicy policy = MakePolicy(0.1);
  RecordAnswers(policy, kFast, 100);
  CHECK(*policy.Delay(kApp, kSlow, seconds(4), At(10)) == seconds(1));
}

TEST_CASE("there is no delay without enough recent answers of others") {
  HedgePolicy policy = MakePolicy(0.01);
  CHECK_FALSE(policy.Delay(kApp, kSlow, seconds(1), At(0)));
  RecordAnswers(policy, kSlow, 200);
  RecordAnswers(policy, kFast, 99);
  CHECK_FALSE(policy.Delay(kApp, kSlow, seconds(1), At(0)));
  policy.SetOptions({0.1});
  CHECK(policy.Delay(kApp, kSlow, seconds(1), At(0)));
  CHECK_FALSE(policy.Delay(kApp, kSlow, seconds(1), At(30'000)));
}

// Guards against a burst after a calm time, and against one after a start.
TEST_CASE("second sends are earned by requests and saved up to two") {
  HedgePolicy policy = MakePolicy(0.1);
  CHECK_FALSE(policy.HasCredit(kApp));
  for (int request = 0; request < 9; ++request) policy.CountRequest(kApp);
  CHECK_FALSE(policy.HasCredit(kApp));
  for (int request = 0; request < 1000; ++request) policy.CountRequest(kApp);
  int sent = 0;
  for (; policy.HasCredit(kApp); ++sent) policy.Spend(kApp);
  CHECK(sent == 2);
}

TEST_CASE("a policy that is off decides on nothing") {
  HedgePolicy policy = MakePolicy(0);
  RecordAnswers(policy, kFast, 100);
  for (int request = 0; request < 1000; ++request) policy.CountRequest(kApp);
  CHECK_FALSE(policy.enabled());
  CHECK_FALSE(policy.Delay(kApp, kSlow, seconds(1), At(0)));
  CHECK_FALSE(policy.HasCredit(kApp));
}

// Guards against second sends that delay first ones.
TEST_CASE("a service is near its room by its slots and by its upstreams") {
  HedgePolicy policy = MakePolicy(0.1);
  policy.CountRequest(kApp);
  for (int ms = 0; ms <= 10'000; ms += 25) {
    policy.RecordOpen({{kApp, 2}}, At(ms));
  }
  const std::size_t hosts = GENERATE(8, 111, 730);
  CHECK_FALSE(policy.NearRoom(kApp, {3, 3, 3 * hosts}, hosts));
  CHECK(policy.NearRoom(kApp, {3, 3, 2 * hosts}, hosts));
  CHECK_FALSE(policy.NearRoom(kApp, {3, 2, 3 * hosts}, hosts));
  CHECK(policy.NearRoom(kApp, {4, 2, 3 * hosts}, hosts));
}

// Guards against one host whose requests of a moment count as those of all.
TEST_CASE("a request that has just arrived does not fill the service") {
  HedgePolicy policy = MakePolicy(0.1);
  policy.CountRequest(kApp);
  policy.RecordOpen({}, At(0));
  policy.RecordOpen({{kApp, 1}}, At(25));
  CHECK_FALSE(policy.NearRoom(kApp, {3, 3, 100}, 730));
}

}  // namespace foxquay::relay
