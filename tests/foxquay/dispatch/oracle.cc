#include <algorithm>
#include <stdexcept>
#include <variant>

#include "engine_harness.h"
#include "sample.h"

namespace foxquay::dispatch {
namespace {

void Require(bool condition, const std::string& message) {
  if (!condition) throw std::logic_error(message);
}

}  // namespace

void EngineHarness::Handle(const Event& event) {
  for (const Action& action : engine_.Handle(event, now_)) {
    Apply(action, event);
  }
  for (const auto& [id, request] : requests_) {
    Require(request.finish || request.deadline > now_,
            "request is open after its deadline");
  }
}

void EngineHarness::Apply(const Action& action, const Event& event) {
  std::visit([&](const auto& a) { On(a, event); }, action);
}

void EngineHarness::CheckDispatch(const FakeRequest& request,
                                  const core::UpstreamId& id) const {
  const auto upstream =
      std::find_if(fleet_.begin(), fleet_.end(),
                   [&](const FakeUpstream& u) { return u.announced.id == id; });
  Require(upstream->listed, "work for a withdrawn upstream");
  Require(!upstream->announced.leaving, "work for a leaving upstream");
  Require(!upstream->disabled, "work for a disabled upstream");
  Require(!request.failed.contains(id),
          "work for an upstream that failed this request");
}

void EngineHarness::Dispatch(FakeRequest& request, core::LegId leg) {
  Require(!request.finish, "dispatch after Finish");
  Require(!request.running, "two legs of a request at once");
  const Submission& submission = request.submission;
  if (submission.no_repeat) {
    Require(submission.idempotency_key.empty() || request.granted,
            "I4: dispatch without a claim");
    Require(!request.lost, "I4: dispatch after an answer was lost");
    Require(request.dispatches == 0 || request.delivered > 0,
            "I4: second dispatch");
  }
  ++request.dispatches;
  request.running = leg;
}

void EngineHarness::On(const StartLeg& action,
                       [[maybe_unused]] const Event& event) {
  FakeRequest& request = requests_.at(action.request.value());
  Dispatch(request, action.leg);
  Require(action.epoch > request.epoch, "I1: epoch does not grow");
  request.epoch = action.epoch;
  Require(action.first_token == request.delivered,
          "I2: leg does not start at the first token not delivered");
  Require(action.delivered.size() == request.delivered,
          "I2: leg was not given all delivered tokens");
  Require(action.count > 0, "leg without tokens");
  Require(action.time_left > core::Duration::zero(),
          "leg started after the deadline");
  bool same = !request.suspects.empty();
  for (const core::UpstreamId& id : request.suspects) {
    same = same && std::any_of(action.chain.begin(), action.chain.end(),
                               [&](const Stage& stage) {
                                 return stage.upstream == id;
                               });
  }
  Require(!same, "resumed on a chain with all stages of the one that failed");
  for (const Stage& stage : action.chain) {
    CheckDispatch(request, stage.upstream);
    for (const FakeUpstream& upstream : fleet_) {
      const schema::LayerRange& held = upstream.announced.layers;
      Require(upstream.announced.id != stage.upstream ||
                  (stage.layers.first >= held.first &&
                   stage.layers.last <= held.last),
              "I1: stage runs layers that it does not hold");
    }
  }
  FakeLeg leg;
  leg.start = action;
  leg.token = action.first_token;
  legs_.emplace(action.leg.value(), std::move(leg));
}

void EngineHarness::RecordFailure(
    core::LegId leg, const std::optional<core::UpstreamId>& culprit) {
  const FakeLeg& failed = legs_.at(leg.value());
  FakeRequest& request = requests_.at(failed.start.request.value());
  if (culprit) {
    request.failed.insert(*culprit);
    return;
  }
  request.suspects.clear();
  for (const Stage& stage : failed.start.chain) {
    request.suspects.push_back(stage.upstream);
  }
}

void EngineHarness::On(const CancelLeg& action,
                       [[maybe_unused]] const Event& event) {
  const auto leg = legs_.find(action.leg.value());
  if (leg != legs_.end()) {
    FakeRequest& request = requests_.at(leg->second.start.request.value());
    Require(request.running == action.leg, "cancels a leg that does not run");
    request.running.reset();
    request.lost = true;
    RecordFailure(action.leg, std::nullopt);
    leg->second.canceled = true;
    return;
  }
  const auto call = calls_.find(action.leg.value());
  Require(call != calls_.end(), "cancels an unknown leg");
  requests_.at(call->second.call.request.value()).running.reset();
}

void EngineHarness::On(const CallService& action,
                       [[maybe_unused]] const Event& event) {
  FakeRequest& request = requests_.at(action.request.value());
  Dispatch(request, action.leg);
  CheckDispatch(request, action.upstream);
  calls_.emplace(action.leg.value(), FakeCall{action, false});
}

void EngineHarness::On(const RequestClaim& action,
                       [[maybe_unused]] const Event& event) {
  proposals_.push_back({action.request, action.key, std::nullopt});
}

void EngineHarness::On(const ReleaseClaim& action,
                       [[maybe_unused]] const Event& event) {
  const FakeRequest& request = requests_.at(action.request.value());
  Require(request.dispatches == 0, "I4: release after dispatch");
  const auto claim = claims_.find(action.key);
  if (claim == claims_.end() || claim->second.holder != action.request) return;
  Require(!claim->second.outcome, "release of a recorded claim");
  claims_.erase(claim);
}

void EngineHarness::On(const RecordOutcome& action,
                       [[maybe_unused]] const Event& event) {
  FakeRequest& request = requests_.at(action.request.value());
  Require(++request.recorded_outcomes == 1, "outcome recorded twice");
  FakeClaim& claim = claims_.at(action.key);
  Require(claim.holder == action.request,
          "outcome recorded for the claim of another request");
  Require(!claim.outcome, "outcome recorded for a claim that already has one");
  claim.outcome = action.outcome;
}

void EngineHarness::On(const DeliverToken& action, const Event& event) {
  FakeRequest& request = requests_.at(action.request.value());
  Require(!request.finish, "token after Finish");
  Require(action.index == request.delivered, "I2: token out of order");
  Require(action.text == std::to_string(action.request.value()) + ":" +
                             std::to_string(action.index),
          "I2: token of another request or index");
  const auto* token = std::get_if<LegToken>(&event);
  Require(token != nullptr && token->epoch == request.epoch,
          "I1: token of an older epoch");
  ++request.delivered;
}

void EngineHarness::On(const Finish& action,
                       [[maybe_unused]] const Event& event) {
  FakeRequest& request = requests_.at(action.request.value());
  Require(!request.finish, "second Finish");
  request.finish = action;
  const bool is_call =
      std::holds_alternative<ServiceCall>(request.submission.work);
  const bool claimed = request.granted && request.dispatches > 0;
  Require(request.recorded_outcomes == (claimed ? 1U : 0U),
          "number of recorded outcomes does not match the claim");
  switch (action.outcome) {
    case core::Outcome::kComplete:
      Require(action.claim ||
                  (is_call ? request.executions > 0
                           : request.delivered == request.answer_tokens),
              "I2: complete without the whole answer");
      return;
    case core::Outcome::kNotRun:
      Require(request.dispatches == 0 && request.executions == 0,
              "I3: not-run after dispatch");
      break;
    case core::Outcome::kUnknown:
      Require(request.submission.no_repeat,
              "outcome unknown for a request that may be repeated");
      Require(request.dispatches > 0 || action.claim.has_value(),
              "outcome unknown without a dispatch");
      return;
    case core::Outcome::kFailed:
      Require(!request.submission.no_repeat,
              "I4: outcome failed, which permits a repeat, for a no-repeat "
              "request");
      Require(request.dispatches > 0, "outcome failed without a dispatch");
      break;
  }
  Require(action.retry_after || request.caller_gone,
          "refusal without retry time");
}

}  // namespace foxquay::dispatch
