#include <algorithm>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {
namespace internal {

/// HTTP status recorded for a claimed completion.
constexpr std::uint32_t kStatusOk = 200;

/// Number of tokens over which a speed sample averages the time between tokens.
constexpr std::uint32_t kSpeedSampleTokens = 8;

std::string Join(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) text += token;
  return text;
}

/// Returns whether a leg ended normally.
bool Succeeded(LegEnd end) noexcept {
  return end == LegEnd::kStop || end == LegEnd::kLength ||
         end == LegEnd::kChunk;
}

}  // namespace internal

void Engine::State::Start(Request& request, const routing::Plan& plan,
                          core::Instant now) {
  const Submission& submission = request.submission;
  const Completion& completion = *request.completion();
  const PolicyScope scope = ScopeOf(submission);
  const core::LegId id(next_leg_++);
  const auto leg_tokens = static_cast<std::uint32_t>(
      policy_.Get(schema::PolicyKey::kLegMaxTokens, scope));
  const stream::LegTerms terms = request.stream.StartLeg(
      id, leg_tokens,
      policy_.GetTime(schema::PolicyKey::kLegTokenTimeout, scope), now);
  request.version = plan.version;
  router_.RecordPrefixes(request.prefixes, plan.chain);
  Leg leg;
  leg.request = submission.id;
  leg.first_token = terms.first_token;
  leg.started = now;
  leg.link_time = plan.link_time;
  for (const Stage& stage : plan.chain) {
    leg.stages.push_back(stage.upstream);
    leg.stage_uses.push_back(
        {stage.upstream, stage.layers.last - stage.layers.first + 1});
    queue_.CountLeg(stage.upstream);
    router_.BeginWork(stage.upstream);
  }
  legs_.emplace(id, std::move(leg));
  StartLeg action;
  action.leg = id;
  action.request = submission.id;
  action.epoch = terms.epoch;
  action.chain = plan.chain;
  action.first_token = terms.first_token;
  action.count = terms.count;
  action.prompt = completion.prompt;
  action.delivered = request.stream.delivered();
  action.priority = submission.traffic_class;
  action.time_left = request.stream.terms().deadline - now;
  action.adapter = completion.adapter;
  action.version = plan.version;
  actions_.emplace_back(std::move(action));
  ArmTimer(request);
}

void Engine::State::Start(Request& request, const routing::ServicePlan& plan,
                          core::Instant now) {
  const core::RequestId request_id = request.submission.id;
  const core::LegId id(next_leg_++);
  request.stream.StartCall(id);
  router_.BeginWork(plan.upstream);
  queue_.CountLeg(plan.upstream);
  Leg leg;
  leg.request = request_id;
  leg.stages = {plan.upstream};
  leg.started = now;
  legs_.emplace(id, std::move(leg));
  actions_.emplace_back(CallService{id, request_id, plan.upstream, plan.address,
                                    request.stream.terms().deadline - now});
}

void Engine::State::On(const LegToken& event, core::Instant now) {
  const auto leg = legs_.find(event.leg);
  if (leg == legs_.end()) return;
  Request* request = FindRequest(leg->second.request);
  if (request == nullptr) return;
  const stream::TokenVerdict verdict = request->stream.AddToken(
      event.leg, event.epoch, event.index, event.text, now);
  if (verdict == stream::TokenVerdict::kDrop) return;
  if (verdict == stream::TokenVerdict::kGap) {
    actions_.emplace_back(CancelLeg{event.leg});
    RecordFailure(request, leg->second, std::nullopt, now);
    ReportCompletedLeg(*request, leg->second, LegEnd::kFailed, now);
    return ApplyNext(*request,
                     request->stream.EndLeg(event.leg, LegEnd::kFailed), now);
  }
  ObserveToken(leg->second, *request, now);
  actions_.emplace_back(
      DeliverToken{leg->second.request, event.index, event.text});
  if (verdict == stream::TokenVerdict::kLast) {
    ReportCompletedLeg(*request, leg->second, LegEnd::kLength, now);
    ApplyNext(*request, request->stream.EndLeg(event.leg, LegEnd::kLength),
              now);
  }
}

void Engine::State::ObserveToken(Leg& leg, const Request& request,
                                 core::Instant now) {
  if (leg.first_token_at) {
    limits_.ObserveToken(leg.stages, now - leg.last_token_at, now,
                         router_.upstreams());
  } else {
    leg.first_token_at = now;
    const auto prompt_bytes =
        static_cast<std::uint32_t>(request.completion()->prompt.size());
    limits_.ObserveFirstToken(leg.stages, now - leg.started, prompt_bytes, now,
                              router_.upstreams());
  }
  leg.last_token_at = now;
  SampleSpeed(leg, now);
}

void Engine::State::SampleSpeed(Leg& leg, core::Instant now) {
  if (leg.first_token_at == now) leg.sampled_at = now;
  if (leg.first_token_at == now ||
      ++leg.unsampled_tokens < internal::kSpeedSampleTokens) {
    return;
  }
  router_.upstreams().Learn(
      leg.stage_uses,
      (now - leg.sampled_at) / leg.unsampled_tokens - leg.link_time, now);
  leg.sampled_at = now;
  leg.unsampled_tokens = 0;
}

void Engine::State::On(const LegEnded& event, core::Instant now) {
  const std::optional<Leg> leg = ReleaseLeg(event.leg);
  if (!leg) return;
  Request* request = FindRequest(leg->request);
  const bool current = request != nullptr && request->stream.leg() == event.leg;
  const bool succeeded = internal::Succeeded(event.end);
  if (succeeded) {
    for (const core::UpstreamId& id : leg->stages) {
      routing::Upstream* upstream = router_.upstreams().Find(id);
      if (upstream != nullptr) upstream->failure_record.RecordSuccess(now);
    }
  } else if (event.end != LegEnd::kCanceled && (current || event.culprit)) {
    RecordFailure(current ? request : nullptr, *leg, event.culprit, now);
  }
  if (!current) return;
  ReportCompletedLeg(*request, *leg, event.end, now);
  ApplyNext(*request, request->stream.EndLeg(event.leg, event.end), now);
}

void Engine::State::FailSilentLeg(Request& request, core::Instant now) {
  const core::LegId id = *request.stream.leg();
  const auto leg = legs_.find(id);
  actions_.emplace_back(CancelLeg{id});
  RecordFailure(&request, leg->second, std::nullopt, now);
  ReportCompletedLeg(request, leg->second, LegEnd::kFailed, now);
  ApplyNext(request, request.stream.EndLeg(id, LegEnd::kFailed), now);
}

void Engine::State::RecordFailure(
    Request* request, const Leg& leg,
    const std::optional<core::UpstreamId>& culprit, core::Instant now) {
  const bool known = culprit && std::find(leg.stages.begin(), leg.stages.end(),
                                          *culprit) != leg.stages.end();
  if (known) {
    routing::Upstream* upstream = router_.upstreams().Find(*culprit);
    if (upstream != nullptr) upstream->failure_record.RecordFailure(now);
    limits_.ObserveFailure(*culprit, now, router_.upstreams());
    if (request != nullptr) {
      request->excluded.push_back(*culprit);
      request->possible_culprits = {*culprit};
    }
    return;
  }
  for (const core::UpstreamId& id : leg.stages) {
    routing::Upstream* upstream = router_.upstreams().Find(id);
    if (upstream != nullptr) upstream->failure_record.RecordSuspicion(now);
  }
  if (request == nullptr) return;
  request->suspects = leg.stages;
  request->possible_culprits = leg.stages;
}

void Engine::State::On(const ServiceAnswered& event, core::Instant now) {
  const std::optional<Leg> leg = ReleaseLeg(event.leg);
  if (!leg) return;
  routing::Upstream* upstream = router_.upstreams().Find(leg->stages.front());
  if (upstream != nullptr) upstream->failure_record.RecordSuccess(now);
  Request* request = FindRequest(leg->request);
  if (request == nullptr ||
      request->stream.CompleteCall(event.leg) != stream::Next::kComplete) {
    return;
  }
  ReportCompletedLeg(*request, *leg, LegEnd::kLength, now);
  Finish finish;
  finish.request = leg->request;
  finish.outcome = core::Outcome::kComplete;
  finish.status = event.status;
  finish.body = event.body;
  FinishRequest(*request, std::move(finish), now);
}

void Engine::State::On(const ServiceFailed& event, core::Instant now) {
  const std::optional<Leg> leg = ReleaseLeg(event.leg);
  if (!leg) return;
  Request* request = FindRequest(leg->request);
  const bool current = request != nullptr && request->stream.leg() == event.leg;
  // A cancelled call fails because of its caller or its deadline, not because
  // of the upstream, so no failure is recorded.
  if (!current) return;
  RecordFailure(request, *leg, leg->stages.front(), now);
  ReportCompletedLeg(*request, *leg, LegEnd::kFailed, now);
  ApplyNext(*request, request->stream.FailCall(event.leg, event.sent), now);
}

std::optional<Leg> Engine::State::ReleaseLeg(core::LegId leg) {
  auto node = legs_.extract(leg);
  if (node.empty()) return std::nullopt;
  for (const core::UpstreamId& id : node.mapped().stages) router_.EndWork(id);
  queue_pass_needed_ = true;
  return std::move(node.mapped());
}

void Engine::State::ApplyNext(Request& request, stream::Next next,
                              core::Instant now) {
  switch (next) {
    case stream::Next::kNothing:
      return;
    case stream::Next::kContinue:
      request.excluded.clear();
      request.suspects.clear();
      return Enqueue(request, false, now);
    case stream::Next::kComplete:
      return FinishCompletion(request, now);
    case stream::Next::kRetry:
      if (queue_.ConsumeRetry(request.submission.workspace,
                              request.possible_culprits)) {
        return Enqueue(request, true, now);
      }
      return Abort(request,
                   "the last attempt failed and the retry budget is exhausted",
                   queue_.RetryAfter(MakeQueueEntry(request).pool), now);
    case stream::Next::kGiveUp:
      return Abort(request,
                   "the last attempt failed and no further attempt is allowed",
                   queue_.RetryAfter(MakeQueueEntry(request).pool), now);
  }
}

void Engine::State::FinishCompletion(Request& request, core::Instant now) {
  Finish finish;
  finish.request = request.submission.id;
  finish.outcome = core::Outcome::kComplete;
  if (request.claim == ClaimState::kHeld) {
    finish.status = internal::kStatusOk;
    finish.body = internal::Join(request.stream.delivered());
  }
  FinishRequest(request, std::move(finish), now);
}

void Engine::State::ReportCompletedLeg(const Request& request, const Leg& leg,
                                       LegEnd end, core::Instant now) {
  const auto delivered =
      static_cast<std::uint32_t>(request.stream.delivered().size());
  CompletedLeg completed;
  completed.request = leg.request;
  completed.tokens = delivered - leg.first_token;
  if (leg.first_token_at) {
    completed.first_token = *leg.first_token_at - leg.started;
  }
  completed.time = now - leg.started;
  completed.succeeded = internal::Succeeded(end);
  const bool full_length = delivered >= request.stream.terms().max_tokens;
  if (end == LegEnd::kStop || (completed.succeeded && full_length)) {
    completed.answer_tokens = delivered;
  }
  queue_.Complete(completed, now);
}

}  // namespace foxquay::dispatch
