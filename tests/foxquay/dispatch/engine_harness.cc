#include "engine_harness.h"

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <variant>

#include "foxquay/core/hash.h"
#include "sample.h"

namespace foxquay::dispatch {
namespace {

void Require(bool condition, const std::string& message) {
  if (!condition) throw std::logic_error(message);
}

std::string TokenText(core::RequestId request, std::uint32_t index) {
  return std::to_string(request.value()) + ":" + std::to_string(index);
}

constexpr std::size_t kModelUpstreams = 6;
constexpr std::size_t kServiceUpstreams = 2;

}  // namespace

EngineHarness::EngineHarness() : now_(kStart), engine_(SampleEngine()) {
  for (std::size_t i = 0; i < kModelUpstreams; ++i) {
    FakeUpstream upstream;
    const bool head = i % 2 == 0;
    upstream.announced = ModelUpstream("m" + std::to_string(i), head ? 0 : 2,
                                       head ? 3 : kLayers - 1, kLayers);
    upstream.announced.slots = 2;
    upstream.listed = true;
    fleet_.push_back(upstream);
  }
  for (std::size_t i = 0; i < kServiceUpstreams; ++i) {
    FakeUpstream upstream;
    upstream.announced = ServiceUpstream("s" + std::to_string(i));
    upstream.listed = true;
    fleet_.push_back(upstream);
  }
  PublishUpstreams();
  PublishPolicy();
}

void EngineHarness::PublishUpstreams() {
  UpstreamsChanged changed;
  for (const FakeUpstream& upstream : fleet_) {
    if (upstream.listed) changed.upstreams.push_back(upstream.announced);
  }
  Handle(changed);
}

void EngineHarness::Submit(bool service, bool no_repeat, std::uint32_t tokens,
                           std::uint32_t key, std::uint32_t timeout_ms) {
  const std::uint64_t id = requests_.size() + 1;
  FakeRequest request;
  request.submission = service ? SampleCall(id, no_repeat)
                               : SampleCompletion(id, std::max(tokens, 1U));
  if (auto* work = std::get_if<Completion>(&request.submission.work)) {
    // Long enough for at least one prefix hash, so that the router uses prefix
    // affinity.
    work->prompt = std::string(600, id % 2 == 0 ? 'a' : 'b');
  }
  request.submission.no_repeat = no_repeat;
  if (no_repeat && key > 0) {
    request.submission.idempotency_key = "2000000000." + std::to_string(key);
  } else {
    request.submission.idempotency_key.clear();
  }
  request.submission.timeout = milliseconds(timeout_ms);
  request.deadline = now_ + milliseconds(timeout_ms);
  if (!service) {
    request.answer_tokens =
        1 + core::Hash(TokenText(core::RequestId(id), 0)) % tokens;
  }
  const Submission submission = request.submission;
  requests_.emplace(id, std::move(request));
  Handle(Arrived{submission});
}

void EngineHarness::Announce(std::size_t index, std::uint32_t first,
                             std::uint32_t last) {
  FakeUpstream& upstream = fleet_[index % fleet_.size()];
  if (upstream.announced.service.empty()) {
    upstream.announced.layers = {std::min(first, last), std::max(first, last)};
  }
  upstream.announced.leaving = false;
  upstream.listed = true;
  PublishUpstreams();
}

void EngineHarness::SetLeaving(std::size_t index) {
  fleet_[index % fleet_.size()].announced.leaving = true;
  PublishUpstreams();
}

void EngineHarness::Withdraw(std::size_t index) {
  fleet_[index % fleet_.size()].listed = false;
  PublishUpstreams();
}

void EngineHarness::WithdrawHalf() {
  for (std::size_t i = 0; i < fleet_.size(); i += 2) fleet_[i].listed = false;
  PublishUpstreams();
}

void EngineHarness::SetCrashed(std::size_t index, bool crashed) {
  fleet_[index % fleet_.size()].crashed = crashed;
}

void EngineHarness::SetHung(std::size_t index, bool hung) {
  fleet_[index % fleet_.size()].hung = hung;
}

void EngineHarness::ToggleEnabled(std::size_t index) {
  fleet_[index % fleet_.size()].disabled ^= true;
  PublishPolicy();
}

void EngineHarness::PublishPolicy() {
  PolicyChanged changed;
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    changed.defaults.push_back(spec.initial);
  }
  changed.defaults[static_cast<std::size_t>(schema::PolicyKey::kLegMaxTokens)] =
      2;
  for (const FakeUpstream& upstream : fleet_) {
    if (!upstream.disabled) continue;
    changed.overrides.push_back({schema::PolicyKey::kUpstreamEnabled,
                                 Scope::kUpstream,
                                 upstream.announced.id.value(), 0});
  }
  Handle(changed);
}

void EngineHarness::CheckMayRun(const FakeRequest& request) {
  Require(!request.finish || request.finish->outcome != core::Outcome::kNotRun,
          "I3: a request reported as not-run was executed");
}

FakeLeg* EngineHarness::PickLeg(std::size_t pick, bool with_outbox) {
  std::vector<FakeLeg*> found;
  for (auto& [id, leg] : legs_) {
    const bool unread = leg.end || !leg.outbox.empty();
    if (with_outbox ? unread : !leg.end) found.push_back(&leg);
  }
  return found.empty() ? nullptr : found[pick % found.size()];
}

FakeCall* EngineHarness::PickCall(std::size_t pick) {
  if (calls_.empty()) return nullptr;
  return &std::next(calls_.begin(),
                    static_cast<std::ptrdiff_t>(pick % calls_.size()))
              ->second;
}

void EngineHarness::RunLeg(std::size_t pick, bool name_culprit) {
  FakeLeg* leg = PickLeg(pick, false);
  if (leg == nullptr) return;
  const std::uint32_t answer_tokens =
      requests_.at(leg->start.request.value()).answer_tokens;
  if (leg->token >= answer_tokens) {
    leg->end = LegEnded{leg->start.leg, LegEnd::kStop, {}};
    return;
  }
  while (leg->stage < leg->start.chain.size()) {
    const Stage& stage = leg->start.chain[leg->stage];
    const auto upstream =
        std::find_if(fleet_.begin(), fleet_.end(), [&](const FakeUpstream& u) {
          return u.announced.id == stage.upstream;
        });
    if (upstream->hung) return;
    if (upstream->crashed) {
      leg->end = LegEnded{leg->start.leg, LegEnd::kFailed, {}};
      if (name_culprit) leg->end->culprit = stage.upstream;
      return;
    }
    RunStage(*leg, stage);
    ++leg->stage;
  }
  FinishToken(*leg);
}

// Checks I1, and I4 for completions.
void EngineHarness::RunStage(FakeLeg& leg, const Stage& stage) {
  const std::uint64_t request = leg.start.request.value();
  CheckMayRun(requests_.at(request));
  for (std::uint32_t layer = stage.layers.first; layer <= stage.layers.last;
       ++layer) {
    Require(layer == leg.next_layer, "I1: layer out of order");
    ++leg.next_layer;
    Require(++runs_[{request, leg.start.epoch, leg.token, layer}] == 1,
            "I1: layer ran twice");
    if (requests_.at(request).submission.no_repeat) {
      Require(++protected_runs_[{request, leg.token, layer}] == 1,
              "I4: token of a no-repeat request ran twice");
    }
  }
}

void EngineHarness::FinishToken(FakeLeg& leg) {
  Require(leg.next_layer == kLayers, "I1: token finished without all layers");
  const LegToken token{leg.start.leg, leg.start.epoch, leg.token,
                       TokenText(leg.start.request, leg.token)};
  leg.outbox.push_back(token);
  leg.history.push_back(token);
  ++leg.token;
  leg.stage = 0;
  leg.next_layer = 0;
  const FakeRequest& request = requests_.at(leg.start.request.value());
  const auto& work = std::get<Completion>(request.submission.work);
  LegEnd end = LegEnd::kChunk;
  if (leg.token == work.max_tokens) {
    end = LegEnd::kLength;
  } else if (leg.token == request.answer_tokens) {
    end = LegEnd::kStop;
  } else if (leg.token < leg.start.first_token + leg.start.count) {
    return;
  }
  leg.end = LegEnded{leg.start.leg, end, {}};
}

void EngineHarness::RefuseLeg(std::size_t pick) {
  FakeLeg* leg = PickLeg(pick, false);
  if (leg == nullptr || leg->stage != 0 || !leg->history.empty()) return;
  leg->end = LegEnded{leg->start.leg, LegEnd::kRefused,
                      leg->start.chain.front().upstream};
}

void EngineHarness::Receive(std::size_t pick) {
  FakeLeg* leg = PickLeg(pick, true);
  if (leg == nullptr) return;
  if (!leg->outbox.empty()) {
    const LegToken token = leg->outbox.front();
    leg->outbox.pop_front();
    return Handle(token);
  }
  const LegEnded end = *leg->end;
  FakeRequest& request = requests_.at(leg->start.request.value());
  if (request.running == end.leg) {
    request.running.reset();
    if (end.end == LegEnd::kRefused) --request.dispatches;
    if (end.end == LegEnd::kFailed) request.lost = true;
    if (end.end == LegEnd::kChunk) {
      request.failed.clear();
      request.suspects.clear();
    } else {
      RecordFailure(end.leg, end.culprit);
    }
  }
  legs_.erase(end.leg.value());
  Handle(end);
}

void EngineHarness::ReceiveOutOfOrder(std::size_t pick, std::size_t position) {
  FakeLeg* leg = PickLeg(pick, true);
  if (leg == nullptr || leg->outbox.empty()) return;
  const auto at = leg->outbox.begin() +
                  static_cast<std::ptrdiff_t>(position % leg->outbox.size());
  const LegToken token = *at;
  leg->outbox.erase(at);
  Handle(token);
}

void EngineHarness::ReceiveDuplicate(std::size_t pick, std::size_t position) {
  std::vector<const LegToken*> sent;
  for (const auto& [id, leg] : legs_) {
    for (const LegToken& token : leg.history) sent.push_back(&token);
  }
  if (sent.empty()) return;
  const LegToken token = *sent[(pick * 7 + position) % sent.size()];
  Handle(token);
}

void EngineHarness::ExecuteCall(std::size_t pick) {
  FakeCall* call = PickCall(pick);
  if (call == nullptr || call->executed) return;
  call->executed = true;
  FakeRequest& request = requests_.at(call->call.request.value());
  CheckMayRun(request);
  ++request.executions;
  if (!request.submission.no_repeat) return;
  Require(request.executions == 1, "I4: no-repeat call ran twice");
  const std::string& key = request.submission.idempotency_key;
  if (!key.empty()) {
    Require(++claims_[key].executions == 1,
            "I4: two calls ran under one idempotency key");
  }
}

void EngineHarness::AnswerCall(std::size_t pick) {
  FakeCall* call = PickCall(pick);
  if (call == nullptr) return;
  ExecuteCall(pick);
  const core::LegId leg = call->call.leg;
  requests_.at(call->call.request.value()).running.reset();
  calls_.erase(leg.value());
  Handle(ServiceAnswered{leg, 200, "done"});
}

void EngineHarness::FailCall(std::size_t pick) {
  FakeCall* call = PickCall(pick);
  if (call == nullptr) return;
  const core::LegId leg = call->call.leg;
  FakeRequest& request = requests_.at(call->call.request.value());
  const bool sent = call->executed || pick % 2 == 0;
  if (request.running == leg) {
    request.running.reset();
    if (!sent) --request.dispatches;
    request.lost |= sent;
  }
  request.failed.insert(call->call.upstream);
  calls_.erase(leg.value());
  Handle(ServiceFailed{leg, sent});
}

void EngineHarness::CloseCaller(std::size_t pick) {
  if (requests_.empty()) return;
  auto& [id, request] = *std::next(
      requests_.begin(), static_cast<std::ptrdiff_t>(pick % requests_.size()));
  request.caller_gone = true;
  Handle(CallerGone{core::RequestId(id)});
}

void EngineHarness::CommitClaim(std::size_t pick) {
  if (proposals_.empty()) return;
  FakeProposal& proposal = proposals_[pick % proposals_.size()];
  if (proposal.decision) return;
  const auto [claim, added] =
      claims_.emplace(proposal.key, FakeClaim{proposal.request, {}, 0});
  if (added) {
    proposal.decision = ClaimDecision::kGranted;
  } else if (!claim->second.outcome) {
    proposal.decision = ClaimDecision::kRunning;
  } else {
    proposal.decision = *claim->second.outcome == core::Outcome::kComplete
                            ? ClaimDecision::kComplete
                            : ClaimDecision::kUnknown;
  }
}

void EngineHarness::DecideClaim(std::size_t pick, bool unavailable) {
  if (proposals_.empty()) return;
  const auto at = proposals_.begin() +
                  static_cast<std::ptrdiff_t>(pick % proposals_.size());
  // With `unavailable`, the decision is lost even if the claim was committed.
  if (!at->decision && !unavailable) return;
  const ClaimDecided decided{
      at->request, unavailable ? ClaimDecision::kUnavailable : *at->decision,
      200, "done"};
  FakeRequest& request = requests_.at(at->request.value());
  request.granted = decided.decision == ClaimDecision::kGranted;
  proposals_.erase(at);
  Handle(decided);
}

void EngineHarness::SetAdmission(bool open) {
  Handle(AdmissionChanged{open, "no lease", std::nullopt});
}

void EngineHarness::Advance(std::uint32_t ms) {
  const core::Instant end = now_ + milliseconds(ms);
  while (engine_.NextDeadline().value_or(end) < end) {
    now_ = std::max(now_, *engine_.NextDeadline());
    Handle(Tick{});
  }
  now_ = end;
  Handle(Tick{});
}

bool EngineHarness::HasOutcome(core::Outcome outcome) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& r) {
    return r.second.finish && r.second.finish->outcome == outcome;
  });
}

bool EngineHarness::HasResumedCompletion() const {
  return std::any_of(requests_.begin(), requests_.end(), [](const auto& r) {
    return r.second.lost && r.second.delivered > 0 && r.second.finish &&
           r.second.finish->outcome == core::Outcome::kComplete;
  });
}

void EngineHarness::RunToEnd() {
  for (int i = 0; i < 20; ++i) Advance(1000);
  for (const auto& [id, request] : requests_) {
    Require(request.finish.has_value(), "request did not finish");
  }
  Require(engine_.OpenRequests() == 0,
          "engine has open requests after all deadlines");
  while (!proposals_.empty()) {
    CommitClaim(0);
    DecideClaim(0, false);
  }
  for (const auto& [key, claim] : claims_) {
    if (claim.holder == core::RequestId()) continue;
    Require(claim.outcome.has_value(), "claim neither recorded nor released");
  }
}

}  // namespace foxquay::dispatch
