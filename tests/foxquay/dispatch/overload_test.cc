#include <catch2/catch.hpp>

#include "sample.h"

namespace foxquay::dispatch {
namespace {

Submission MakeSubmission(const std::string& workspace, std::uint64_t id,
                          core::Duration timeout) {
  Submission submission = SampleCompletion(id, 64);
  submission.workspace = core::WorkspaceId(workspace);
  submission.timeout = timeout;
  return submission;
}

/// Adds an upstream with four slots and 400 requests to an engine.
void Fill(Engine& engine) {
  (void)engine.Handle(UpstreamsChanged{{ModelUpstream("a", 0, 3)}}, kStart);
  for (std::uint64_t id = 1; id <= 400; ++id) {
    (void)engine.Handle(Arrived{MakeSubmission("flood", id, seconds(600))},
                        kStart);
  }
}

}  // namespace

// Guards against queueing a request that cannot finish in time and refusing it
// only at its deadline.
TEST_CASE("a request that cannot finish in time is refused on arrival") {
  Engine engine = SampleEngine();
  Fill(engine);
  const std::size_t open = engine.OpenRequests();
  const auto ends = ActionsOfType<Finish>(engine.Handle(
      Arrived{MakeSubmission("flood", 1000, seconds(599))}, kStart));
  CHECK(ends.empty());
  int refused = 0;
  for (std::uint64_t id = 2000; id < 4000; ++id) {
    const auto refusals = ActionsOfType<Finish>(engine.Handle(
        Arrived{MakeSubmission("flood", id, seconds(10))}, kStart));
    if (refusals.empty()) continue;
    ++refused;
    CHECK(refusals.front().outcome == core::Outcome::kNotRun);
    REQUIRE(refusals.front().retry_after);
    CHECK(*refusals.front().retry_after > seconds(10));
  }
  // At an estimated 1.4 s each, four slots finish about 25 more within 10 s.
  CHECK(refused > 1900);
  CHECK(engine.OpenRequests() < open + 100);
}

// Guards against one workspace's queue causing the refusal of another's
// request.
TEST_CASE("an overloaded workspace does not cause refusals for another") {
  Engine engine = SampleEngine();
  Fill(engine);
  CHECK(ActionsOfType<Finish>(
            engine.Handle(Arrived{MakeSubmission("quiet", 1000, seconds(10))},
                          kStart))
            .empty());
}

// Guards against retrying a failed leg when the retry budget is zero.
TEST_CASE("without a retry budget a failed leg ends its request") {
  Engine engine = SampleEngine();
  PolicyChanged policy;
  for (const auto& spec : schema::kPolicySpecs) {
    policy.defaults.push_back(
        spec.key == schema::PolicyKey::kRetryBudget ? 0 : spec.initial);
  }
  (void)engine.Handle(policy, kStart);
  (void)engine.Handle(
      UpstreamsChanged{{ModelUpstream("a", 0, 3), ModelUpstream("b", 0, 3)}},
      kStart);
  const auto legs = ActionsOfType<StartLeg>(
      engine.Handle(Arrived{MakeSubmission("quiet", 1, seconds(10))}, kStart));
  REQUIRE(legs.size() == 1);
  const auto actions = engine.Handle(
      LegEnded{legs[0].leg, LegEnd::kFailed, legs[0].chain[0].upstream},
      kStart);
  CHECK(ActionsOfType<StartLeg>(actions).empty());
  REQUIRE(ActionsOfType<Finish>(actions).size() == 1);
  CHECK(ActionsOfType<Finish>(actions)[0].outcome == core::Outcome::kFailed);
}

}  // namespace foxquay::dispatch
