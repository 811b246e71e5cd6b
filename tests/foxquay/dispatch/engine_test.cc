#include "foxquay/dispatch/engine.h"

#include <catch2/catch.hpp>

#include "sample.h"

namespace foxquay::dispatch {

TEST_CASE("a completion runs in several legs and is delivered completely") {
  Engine engine = SampleEngine();
  CHECK(engine
            .Handle(UpstreamsChanged{{ModelUpstream("a", 0, 1),
                                      ModelUpstream("b", 2, 3)}},
                    kStart)
            .empty());
  auto legs = ActionsOfType<StartLeg>(
      engine.Handle(Arrived{SampleCompletion(1, 65)}, kStart));
  REQUIRE(legs.size() == 1);
  CHECK(legs[0].count == 64);
  CHECK(routing::Covers(legs[0].chain, 4));
  for (std::uint32_t i = 0; i < 64; ++i) {
    const auto actions =
        engine.Handle(LegToken{legs[0].leg, legs[0].epoch, i, "x"}, kStart);
    REQUIRE(ActionsOfType<DeliverToken>(actions).size() == 1);
  }
  const auto next = ActionsOfType<StartLeg>(
      engine.Handle(LegEnded{legs[0].leg, LegEnd::kChunk, {}}, kStart));
  REQUIRE(next.size() == 1);
  CHECK(next[0].epoch > legs[0].epoch);
  CHECK(next[0].first_token == 64);
  CHECK(next[0].count == 1);
  const auto end = ActionsOfType<Finish>(
      engine.Handle(LegToken{next[0].leg, next[0].epoch, 64, "x"}, kStart));
  REQUIRE(end.size() == 1);
  CHECK(end[0].outcome == core::Outcome::kComplete);
  CHECK(engine.OpenRequests() == 0);
}

// Guards against refusals that do not tell which layers have no upstream.
TEST_CASE("a refusal for missing layers names the layers") {
  Engine engine = SampleEngine();
  CHECK(engine.Handle(UpstreamsChanged{{ModelUpstream("a", 0, 1)}}, kStart)
            .empty());
  const auto end = ActionsOfType<Finish>(
      engine.Handle(Arrived{SampleCompletion(1, 5)}, kStart));
  REQUIRE(end.size() == 1);
  CHECK(end[0].outcome == core::Outcome::kNotRun);
  CHECK(end[0].reason.find("2-3") != std::string::npos);
  CHECK(end[0].retry_after);
}

// Guards against sending a call before its claim is granted, sending it twice,
// and failing to record its outcome.
TEST_CASE("a no-repeat call is claimed, sent once and recorded once") {
  Engine engine = SampleEngine();
  CHECK(
      engine.Handle(UpstreamsChanged{{ServiceUpstream("s")}}, kStart).empty());
  auto actions = engine.Handle(Arrived{SampleCall(1, true)}, kStart);
  CHECK(ActionsOfType<CallService>(actions).empty());
  CHECK(ActionsOfType<RequestClaim>(actions).size() == 1);
  actions = engine.Handle(
      ClaimDecided{core::RequestId(1), ClaimDecision::kGranted, 0, ""}, kStart);
  const auto calls = ActionsOfType<CallService>(actions);
  REQUIRE(calls.size() == 1);
  SECTION("answered") {
    actions = engine.Handle(ServiceAnswered{calls[0].leg, 201, "ok"}, kStart);
    const auto records = ActionsOfType<RecordOutcome>(actions);
    REQUIRE(records.size() == 1);
    CHECK(records[0].outcome == core::Outcome::kComplete);
    CHECK(records[0].status == 201);
  }
  SECTION("lost after dispatch") {
    actions = engine.Handle(ServiceFailed{calls[0].leg, true}, kStart);
    CHECK(ActionsOfType<CallService>(actions).empty());
    const auto records = ActionsOfType<RecordOutcome>(actions);
    REQUIRE(records.size() == 1);
    CHECK(records[0].outcome == core::Outcome::kUnknown);
  }
  SECTION("lost before dispatch") {
    actions = engine.Handle(ServiceFailed{calls[0].leg, false}, kStart);
    CHECK(ActionsOfType<RecordOutcome>(actions).empty());
    CHECK(ActionsOfType<ReleaseClaim>(actions).size() == 1);
    CHECK(ActionsOfType<Finish>(actions).at(0).outcome ==
          core::Outcome::kNotRun);
  }
  CHECK(engine.OpenRequests() == 0);
}

// Guards against a request that waits for a hung stage until its deadline. The
// token time-out must cancel the leg and resume on another chain.
TEST_CASE("a silent leg is resumed at the next token on another chain") {
  Engine engine = SampleEngine();
  CHECK(engine
            .Handle(UpstreamsChanged{{ModelUpstream("a", 0, 3),
                                      ModelUpstream("b", 0, 3)}},
                    kStart)
            .empty());
  const auto first = ActionsOfType<StartLeg>(
      engine.Handle(Arrived{SampleCompletion(1, 5)}, kStart));
  REQUIRE(first.size() == 1);
  CHECK(
      ActionsOfType<DeliverToken>(
          engine.Handle(LegToken{first[0].leg, first[0].epoch, 0, "x"}, kStart))
          .size() == 1);
  const auto actions = engine.Handle(Tick{}, kStart + seconds(2));
  CHECK(ActionsOfType<CancelLeg>(actions).size() == 1);
  const auto second = ActionsOfType<StartLeg>(actions);
  REQUIRE(second.size() == 1);
  CHECK(second[0].first_token == 1);
  CHECK(second[0].epoch > first[0].epoch);
  CHECK(second[0].chain != first[0].chain);
  CHECK(engine
            .Handle(LegToken{first[0].leg, first[0].epoch, 1, "late"},
                    kStart + seconds(2))
            .empty());
}

// Guards against admitting requests after the lease has ended because the
// thread that closes admission has not run, e.g. after the process was
// suspended.
TEST_CASE("admission closes at its end time without a further event") {
  Engine engine = SampleEngine();
  (void)engine.Handle(UpstreamsChanged{{ModelUpstream("a", 0, 3)}}, kStart);
  (void)engine.Handle(AdmissionChanged{true, "", kStart + seconds(2)}, kStart);
  auto actions = engine.Handle(Arrived{SampleCompletion(1, 2)},
                               kStart + milliseconds(1999));
  CHECK(ActionsOfType<StartLeg>(actions).size() == 1);
  actions = engine.Handle(Arrived{SampleCompletion(2, 2)}, kStart + seconds(2));
  CHECK(ActionsOfType<StartLeg>(actions).empty());
  const auto ends = ActionsOfType<Finish>(actions);
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].request == core::RequestId(2));
  CHECK(ends[0].outcome == core::Outcome::kNotRun);
  CHECK(ends[0].retry_after.has_value());
}

// Guards against an idle host that refuses a long request. The estimate that it
// derives from a single short answer exceeds the request's deadline and would
// never be corrected.
TEST_CASE("an idle host admits a request whose estimate exceeds its deadline") {
  Engine engine = SampleEngine();
  (void)engine.Handle(UpstreamsChanged{{ModelUpstream("a", 0, 3)}}, kStart);
  auto actions = engine.Handle(Arrived{SampleCompletion(1, 1)}, kStart);
  const StartLeg first = ActionsOfType<StartLeg>(actions).at(0);
  const core::Instant end = kStart + milliseconds(500);
  (void)engine.Handle(LegToken{first.leg, first.epoch, 0, "a"}, end);
  (void)engine.Handle(LegEnded{first.leg, LegEnd::kLength, std::nullopt}, end);
  actions = engine.Handle(Arrived{SampleCompletion(2, 4000)}, end);
  CHECK(ActionsOfType<Finish>(actions).empty());
  CHECK(ActionsOfType<StartLeg>(actions).size() == 1);
}

// Guards against counting the failure of a cancelled call against its upstream,
// which would make the upstream unavailable to other callers.
TEST_CASE("a cancelled call is not recorded as an upstream failure") {
  Engine engine = SampleEngine();
  CHECK(
      engine.Handle(UpstreamsChanged{{ServiceUpstream("s")}}, kStart).empty());
  const auto calls = ActionsOfType<CallService>(
      engine.Handle(Arrived{SampleCall(1, false)}, kStart));
  REQUIRE(calls.size() == 1);
  const auto actions = engine.Handle(CallerGone{core::RequestId(1)}, kStart);
  CHECK(ActionsOfType<CancelLeg>(actions).size() == 1);
  CHECK(engine.Handle(ServiceFailed{calls[0].leg, true}, kStart).empty());
  CHECK(ActionsOfType<CallService>(
            engine.Handle(Arrived{SampleCall(2, false)}, kStart))
            .size() == 1);
}

}  // namespace foxquay::dispatch
