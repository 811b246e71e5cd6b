#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "foxquay/dispatch/engine.h"
#include "sample.h"

namespace foxquay::dispatch {
namespace {

/// Runs an engine on simulated upstreams, each of which holds all layers. Every
/// running leg generates one token per Step.
class Fleet {
 public:
  explicit Fleet(std::size_t count) : engine_(SampleEngine()) {
    for (std::size_t i = 0; i < count; ++i) {
      upstreams_.push_back(ModelUpstream("m" + std::to_string(i), 0, 3));
    }
    Handle(UpstreamsChanged{upstreams_});
  }

  void Submit(std::uint32_t tokens, core::Duration timeout) {
    Submission submission = SampleCompletion(++submitted_, tokens);
    submission.timeout = timeout;
    Handle(Arrived{submission});
  }

  /// Withdraws the upstreams from index `first` on. Their legs fail if
  /// `fail_legs`; otherwise they run to their end.
  void Withdraw(std::size_t first, bool fail_legs) {
    std::set<core::UpstreamId> gone;
    while (upstreams_.size() > first) {
      gone.insert(upstreams_.back().id);
      upstreams_.pop_back();
    }
    Handle(UpstreamsChanged{upstreams_});
    if (!fail_legs) return;
    for (const auto& [id, leg] : std::map(legs_)) {
      const core::UpstreamId& upstream = leg.chain.front().upstream;
      if (gone.contains(upstream)) End(id, LegEnd::kFailed, upstream);
    }
  }

  /// Advances the clock by kStep and generates a token of every running leg.
  void Step() {
    now_ += kStep;
    for (const auto& [id, leg] : std::map(legs_)) {
      const std::uint32_t index = next_[id]++;
      Handle(LegToken{leg.leg, leg.epoch, index, "x"});
      if (index + 1 < leg.first_token + leg.count) continue;
      End(id, leg.count == 64 ? LegEnd::kChunk : LegEnd::kLength, {});
    }
    Handle(Tick{});
  }

  [[nodiscard]] std::size_t Running(const std::string& id) const {
    return static_cast<std::size_t>(
        std::count_if(legs_.begin(), legs_.end(), [&](const auto& entry) {
          return entry.second.chain.front().upstream.value() == id;
        }));
  }

  static constexpr core::Duration kStep = milliseconds(25);
  std::vector<Finish> finished;
  std::vector<StartLeg> started;

 private:
  void End(std::uint64_t id, LegEnd end,
           const std::optional<core::UpstreamId>& culprit) {
    const core::LegId leg = legs_.at(id).leg;
    legs_.erase(id);
    Handle(LegEnded{leg, end, culprit});
  }

  void Handle(const Event& event) {
    const auto actions = engine_.Handle(event, now_);
    for (const StartLeg& start : ActionsOfType<StartLeg>(actions)) {
      legs_.emplace(start.leg.value(), start);
      next_[start.leg.value()] = start.first_token;
      started.push_back(start);
    }
    for (const Finish& end : ActionsOfType<Finish>(actions)) {
      finished.push_back(end);
    }
  }

  core::Instant now_ = kStart;
  Engine engine_;
  std::vector<schema::Announcement> upstreams_;
  std::map<std::uint64_t, StartLeg> legs_;
  std::map<std::uint64_t, std::uint32_t> next_;
  std::uint64_t submitted_ = 0;
};

std::size_t CountOutcome(const std::vector<Finish>& finished,
                         core::Outcome outcome) {
  return static_cast<std::size_t>(
      std::count_if(finished.begin(), finished.end(),
                    [&](const Finish& end) { return end.outcome == outcome; }));
}

}  // namespace

// Guards against starting new legs on a withdrawn upstream, and against
// interrupting the leg that is running there.
TEST_CASE("a request leaves a withdrawn upstream at its next leg") {
  Fleet fleet(2);
  for (int i = 0; i < 8; ++i) fleet.Submit(100, seconds(60));
  REQUIRE(fleet.Running("m1") == 4);
  fleet.Withdraw(1, false);
  for (int i = 0; i < 63; ++i) fleet.Step();
  CHECK(fleet.Running("m1") == 4);
  for (int i = 0; i < 137; ++i) fleet.Step();
  CHECK(CountOutcome(fleet.finished, core::Outcome::kComplete) == 8);
  for (const StartLeg& start : fleet.started) {
    if (start.first_token == 0) continue;
    CHECK(start.first_token == 64);
    CHECK(start.chain[0].upstream.value() == "m0");
  }
}

// Guards against requests that stay queued until their deadline although the
// last upstream of their model was withdrawn.
TEST_CASE("queued requests are refused when their model has no upstream left") {
  Fleet fleet(1);
  for (int i = 0; i < 10; ++i) fleet.Submit(4, seconds(60));
  REQUIRE(fleet.started.size() == 4);
  fleet.Withdraw(0, false);
  CHECK(fleet.finished.size() == 6);
  for (int i = 0; i < 5; ++i) fleet.Step();
  REQUIRE(fleet.finished.size() == 10);
  for (std::size_t i = 0; i < 6; ++i) {
    CHECK(fleet.finished[i].outcome == core::Outcome::kNotRun);
    CHECK(fleet.finished[i].retry_after);
  }
}

// Guards against queued requests that run into their deadlines, instead of
// being refused early, after half of the upstreams are withdrawn under load.
TEST_CASE("withdrawing half the fleet causes refusals, not timeouts") {
  const bool fail_legs = GENERATE(false, true);
  CAPTURE(fail_legs);
  Fleet fleet(8);
  // A request takes 1 s, so 32 slots serve 32 requests/s; 28 requests/s arrive.
  for (int i = 0; i < 1200; ++i) {
    if (i % 2 == 0) fleet.Submit(40, seconds(3));
    if (i % 5 == 0) fleet.Submit(40, seconds(3));
    fleet.Step();
    if (i == 600) fleet.Withdraw(4, fail_legs);
  }
  for (int i = 0; i < 400; ++i) fleet.Step();
  CHECK(fleet.finished.size() == 840);
  CHECK(CountOutcome(fleet.finished, core::Outcome::kComplete) > 640);
  for (const Finish& end : fleet.finished) {
    CHECK(end.reason != "deadline passed");
    CHECK((end.outcome == core::Outcome::kComplete || end.retry_after));
  }
}

}  // namespace foxquay::dispatch
