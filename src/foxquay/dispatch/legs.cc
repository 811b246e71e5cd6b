#include <algorithm>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {
namespace internal {

/// HTTP status recorded for a claimed completion.
constexpr std::uint32_t kStatusOk = 200;

/// Tokens over which the time between tokens is averaged.
constexpr std::uint32_t kSpeedSample = 8;

std::string Join(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) text += token;
  return text;
}

bool EndedWell(LegEnd end) noexcept {
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
    leg.uses.push_back(
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
  Arm(request);
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
    Blame(request, leg->second, std::nullopt, now);
    ReportServed(*request, leg->second, LegEnd::kFailed, now);
    return Follow(*request, request->stream.EndLeg(event.leg, LegEnd::kFailed),
                  now);
  }
  ObserveToken(leg->second, *request, now);
  actions_.emplace_back(
      DeliverToken{leg->second.request, event.index, event.text});
  if (verdict == stream::TokenVerdict::kLast) {
    ReportServed(*request, leg->second, LegEnd::kLength, now);
    Follow(*request, request->stream.EndLeg(event.leg, LegEnd::kLength), now);
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
  if (leg.first_token_at == now || ++leg.unsampled < internal::kSpeedSample) {
    return;
  }
  router_.upstreams().Learn(
      leg.uses, (now - leg.sampled_at) / leg.unsampled - leg.link_time, now);
  leg.sampled_at = now;
  leg.unsampled = 0;
}

void Engine::State::On(const LegEnded& event, core::Instant now) {
  const std::optional<Leg> leg = Release(event.leg);
  if (!leg) return;
  Request* request = FindRequest(leg->request);
  const bool current = request != nullptr && request->stream.leg() == event.leg;
  const bool ended_well = internal::EndedWell(event.end);
  if (ended_well) {
    for (const core::UpstreamId& id : leg->stages) {
      routing::Upstream* upstream = router_.upstreams().Find(id);
      if (upstream != nullptr) upstream->failure_record.RecordSuccess(now);
    }
  } else if (event.end != LegEnd::kCanceled && (current || event.culprit)) {
    Blame(current ? request : nullptr, *leg, event.culprit, now);
  }
  if (!current) return;
  ReportServed(*request, *leg, event.end, now);
  Follow(*request, request->stream.EndLeg(event.leg, event.end), now);
}

void Engine::State::Silence(Request& request, core::Instant now) {
  const core::LegId id = *request.stream.leg();
  const auto leg = legs_.find(id);
  actions_.emplace_back(CancelLeg{id});
  Blame(&request, leg->second, std::nullopt, now);
  ReportServed(request, leg->second, LegEnd::kFailed, now);
  Follow(request, request.stream.EndLeg(id, LegEnd::kFailed), now);
}

void Engine::State::Blame(Request* request, const Leg& leg,
                          const std::optional<core::UpstreamId>& culprit,
                          core::Instant now) {
  const bool known = culprit && std::find(leg.stages.begin(), leg.stages.end(),
                                          *culprit) != leg.stages.end();
  if (known) {
    routing::Upstream* upstream = router_.upstreams().Find(*culprit);
    if (upstream != nullptr) upstream->failure_record.RecordFailure(now);
    limits_.ObserveFailure(*culprit, now, router_.upstreams());
    if (request != nullptr) {
      request->excluded.push_back(*culprit);
      request->failed = {*culprit};
    }
    return;
  }
  for (const core::UpstreamId& id : leg.stages) {
    routing::Upstream* upstream = router_.upstreams().Find(id);
    if (upstream != nullptr) upstream->failure_record.RecordSuspicion(now);
  }
  if (request == nullptr) return;
  request->suspected = leg.stages;
  request->failed = leg.stages;
}

void Engine::State::On(const ServiceAnswered& event, core::Instant now) {
  const std::optional<Leg> leg = Release(event.leg);
  if (!leg) return;
  routing::Upstream* upstream = router_.upstreams().Find(leg->stages.front());
  if (upstream != nullptr) upstream->failure_record.RecordSuccess(now);
  Request* request = FindRequest(leg->request);
  if (request == nullptr ||
      request->stream.CompleteCall(event.leg) != stream::Next::kComplete) {
    return;
  }
  ReportServed(*request, *leg, LegEnd::kLength, now);
  Finish end;
  end.request = leg->request;
  end.outcome = core::Outcome::kComplete;
  end.status = event.status;
  end.body = event.body;
  End(*request, std::move(end), now);
}

void Engine::State::On(const ServiceFailed& event, core::Instant now) {
  const std::optional<Leg> leg = Release(event.leg);
  if (!leg) return;
  Request* request = FindRequest(leg->request);
  const bool current = request != nullptr && request->stream.leg() == event.leg;
  // A call that was cancelled fails because of its caller or its deadline.
  if (!current) return;
  Blame(request, *leg, leg->stages.front(), now);
  ReportServed(*request, *leg, LegEnd::kFailed, now);
  Follow(*request, request->stream.FailCall(event.leg, event.sent), now);
}

std::optional<Leg> Engine::State::Release(core::LegId leg) {
  auto node = legs_.extract(leg);
  if (node.empty()) return std::nullopt;
  for (const core::UpstreamId& id : node.mapped().stages) router_.EndWork(id);
  pump_needed_ = true;
  return std::move(node.mapped());
}

void Engine::State::Follow(Request& request, stream::Next next,
                           core::Instant now) {
  switch (next) {
    case stream::Next::kNothing:
      return;
    case stream::Next::kContinue:
      request.excluded.clear();
      request.suspected.clear();
      return Enqueue(request, false, now);
    case stream::Next::kComplete:
      return Complete(request, now);
    case stream::Next::kRetry:
      if (queue_.AllowRetry(request.submission.workspace, request.failed)) {
        return Enqueue(request, true, now);
      }
      return GiveUp(request, "retry budget is used up",
                    queue_.RetryAfter(Describe(request).pool), now);
    case stream::Next::kGiveUp:
      return GiveUp(request, "upstream failed",
                    queue_.RetryAfter(Describe(request).pool), now);
  }
}

void Engine::State::Complete(Request& request, core::Instant now) {
  Finish end;
  end.request = request.submission.id;
  end.outcome = core::Outcome::kComplete;
  if (request.claim == ClaimState::kHeld) {
    end.status = internal::kStatusOk;
    end.body = internal::Join(request.stream.delivered());
  }
  End(request, std::move(end), now);
}

void Engine::State::ReportServed(const Request& request, const Leg& leg,
                                 LegEnd end, core::Instant now) {
  const auto delivered =
      static_cast<std::uint32_t>(request.stream.delivered().size());
  Served served;
  served.request = leg.request;
  served.tokens = delivered - leg.first_token;
  if (leg.first_token_at) {
    served.first_token = *leg.first_token_at - leg.started;
  }
  served.time = now - leg.started;
  served.ended_well = internal::EndedWell(end);
  const bool whole = delivered >= request.stream.terms().max_tokens;
  if (end == LegEnd::kStop || (served.ended_well && whole)) {
    served.answer = delivered;
  }
  queue_.Complete(served, now);
}

}  // namespace foxquay::dispatch
