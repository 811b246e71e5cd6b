#include <algorithm>
#include <chrono>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {
namespace internal {

/// Time after which an undecided claim is given up. A leader failover takes
/// less than 2 s.
constexpr core::Duration kClaimTimeout = std::chrono::seconds(2);
/// Retry time given while another request with the same key is running.
constexpr core::Duration kRunningRetryAfter = std::chrono::seconds(1);
/// Most ended requests kept because their claim may still be granted and must
/// then be released.
constexpr std::size_t kMaxUndecidedClaims = 4096;
/// Largest answer, in bytes, that is recorded with a claim.
constexpr std::size_t kMaxRecordedBody = 4096;

/// Returns whether a request that has not started would miss its deadline.
bool CannotStartInTime(const Request& request, core::Instant now) {
  return request.stream.phase() == stream::Phase::kWaiting &&
         !request.stream.may_have_run() && request.latest_start <= now;
}

/// Returns the error message for a claim that did not let the request run.
std::string Reason(ClaimDecision decision) {
  switch (decision) {
    case ClaimDecision::kGranted:
    case ClaimDecision::kComplete:
      return "";
    case ClaimDecision::kRunning:
      return "another request with this idempotency key is running";
    case ClaimDecision::kUnknown:
      return "a request with this idempotency key was dispatched and its "
             "outcome is unknown";
    case ClaimDecision::kExpired:
      return "the idempotency key has expired or its expiry is too far ahead";
    case ClaimDecision::kMismatch:
      return "the idempotency key was used for a different request";
    case ClaimDecision::kUnavailable:
      return "the idempotency key could not be claimed: control state "
             "unavailable";
  }
  return "invalid claim decision";
}

}  // namespace internal

std::optional<Refusal> Engine::State::CheckTokenLimit(
    const Submission& submission) const {
  const auto* completion = std::get_if<Completion>(&submission.work);
  if (completion == nullptr) return std::nullopt;
  const std::int64_t limit =
      policy_.Get(schema::PolicyKey::kRequestMaxTokens, ScopeOf(submission));
  if (completion->max_tokens <= limit) return std::nullopt;
  return Refusal{"max_tokens is " + std::to_string(completion->max_tokens) +
                     ", but at most " + std::to_string(limit) + " are allowed",
                 std::nullopt};
}

stream::Terms Engine::State::TermsOf(const Submission& submission,
                                     core::Instant now) const {
  const PolicyScope scope = ScopeOf(submission);
  stream::Terms terms;
  terms.no_repeat = submission.no_repeat;
  terms.claim = submission.no_repeat && !submission.idempotency_key.empty();
  terms.deadline = now + submission.timeout.value_or(policy_.GetTime(
                             schema::PolicyKey::kRequestTimeout, scope));
  if (const auto* completion = std::get_if<Completion>(&submission.work)) {
    terms.max_tokens = completion->max_tokens != 0
                           ? completion->max_tokens
                           : static_cast<std::uint32_t>(policy_.Get(
                                 schema::PolicyKey::kRequestMaxTokens, scope));
  }
  return terms;
}

void Engine::State::On(const Arrived& event, core::Instant now) {
  const Submission& submission = event.submission;
  if (requests_.contains(submission.id)) return;
  std::optional<Refusal> refusal;
  if (!admission_open_) {
    refusal = Refusal{closed_reason_, queue_.RetryAfter({})};
  } else {
    refusal = CheckTokenLimit(submission);
  }
  if (refusal) return RefuseSubmission(submission, *refusal);
  Request& request =
      requests_.try_emplace(submission.id, submission, TermsOf(submission, now))
          .first->second;
  if (const Completion* completion = request.completion()) {
    if (!completion->version.empty()) request.version = completion->version;
    request.prefixes = routing::PrefixHashes(
        completion->prompt,
        completion->model.value() + '\n' + completion->adapter);
  }
  const PlanResult found = FindPlan(request, now);
  const auto* no_plan = std::get_if<routing::NoPlan>(&found);
  if (no_plan != nullptr && no_plan->reason != routing::NoPlan::Reason::kBusy) {
    return Abort(request, *no_plan, now);
  }
  refusal = queue_.Admit(MakeQueueEntry(request), now);
  if (refusal) {
    // Service times are estimates that change with each leg, so a deadline that
    // is too short now may be met later: each refusal here has a retry time.
    return Abort(request, refusal->reason,
                 refusal->retry_after.value_or(
                     queue_.RetryAfter(MakeQueueEntry(request).pool)),
                 now);
  }
  if (request.stream.phase() == stream::Phase::kClaiming) {
    request.claim = ClaimState::kRequested;
    request.claim_deadline = now + internal::kClaimTimeout;
    actions_.emplace_back(
        RequestClaim{submission.id, submission.idempotency_key});
  } else {
    Enqueue(request, false, now);
  }
  ArmTimer(request);
}

void Engine::State::RefuseSubmission(const Submission& submission,
                                     const Refusal& refusal) {
  Finish finish;
  finish.request = submission.id;
  finish.outcome = core::Outcome::kNotRun;
  finish.reason = refusal.reason;
  finish.retry_after = refusal.retry_after;
  actions_.emplace_back(std::move(finish));
}

void Engine::State::On(const ClaimDecided& event, core::Instant now) {
  Request* request = FindRequest(event.request);
  if (request == nullptr) {
    const auto found = std::find_if(
        undecided_claims_.begin(), undecided_claims_.end(),
        [&](const auto& entry) { return entry.first == event.request; });
    if (found == undecided_claims_.end()) return;
    // The release that FinishRequest sent may have been applied before the
    // claim was committed, so the claim is released again.
    if (event.decision == ClaimDecision::kGranted ||
        event.decision == ClaimDecision::kUnavailable) {
      actions_.emplace_back(ReleaseClaim{event.request, found->second});
    }
    undecided_claims_.erase(found);
    return;
  }
  if (request->claim != ClaimState::kRequested) return;
  if (event.decision == ClaimDecision::kGranted) return Grant(*request, now);
  if (event.decision != ClaimDecision::kUnavailable) {
    request->claim = ClaimState::kNone;
  }
  Finish finish;
  finish.request = event.request;
  finish.outcome = core::Outcome::kNotRun;
  finish.reason = internal::Reason(event.decision);
  finish.claim = event.decision;
  switch (event.decision) {
    case ClaimDecision::kComplete:
      finish.outcome = core::Outcome::kComplete;
      finish.status = event.status;
      finish.body = event.body;
      break;
    case ClaimDecision::kUnknown:
      finish.outcome = core::Outcome::kUnknown;
      break;
    case ClaimDecision::kRunning:
      finish.retry_after = internal::kRunningRetryAfter;
      break;
    case ClaimDecision::kUnavailable:
      finish.retry_after = queue_.RetryAfter(MakeQueueEntry(*request).pool);
      break;
    case ClaimDecision::kGranted:
    case ClaimDecision::kExpired:
    case ClaimDecision::kMismatch:
      break;
  }
  FinishRequest(*request, std::move(finish), now);
}

void Engine::State::Grant(Request& request, core::Instant now) {
  request.claim = ClaimState::kHeld;
  request.stream.GrantClaim();
  Enqueue(request, false, now);
}

void Engine::State::On(const CallerGone& event, core::Instant now) {
  Request* request = FindRequest(event.request);
  if (request == nullptr) return;
  // A running service call with a claim is not cancelled: its recorded answer
  // is returned if the caller repeats the request.
  if (request->claim == ClaimState::kHeld && request->completion() == nullptr &&
      request->stream.phase() == stream::Phase::kRunning) {
    request->caller_gone = true;
    return;
  }
  Abort(*request, "caller closed the connection", std::nullopt, now);
}

void Engine::State::OnTimer(Request& request, core::Instant now) {
  const core::Duration retry_after =
      queue_.RetryAfter(MakeQueueEntry(request).pool);
  if (request.stream.terms().deadline <= now) {
    return Abort(request, "deadline passed", retry_after, now);
  }
  if (request.claim == ClaimState::kRequested &&
      request.claim_deadline <= now) {
    return Abort(request, "claim of the idempotency key timed out", retry_after,
                 now);
  }
  if (internal::CannotStartInTime(request, now)) {
    return Abort(request,
                 "queue wait leaves too little time before the deadline",
                 retry_after, now);
  }
  if (request.stream.token_deadline().value_or(core::Instant::max()) <= now) {
    FailSilentLeg(request, now);
  }
}

void Engine::State::Abort(Request& request, std::string reason,
                          std::optional<core::Duration> retry_after,
                          core::Instant now) {
  if (const auto leg = request.stream.leg()) {
    actions_.emplace_back(CancelLeg{*leg});
    const auto found = legs_.find(*leg);
    if (found != legs_.end()) {
      ReportCompletedLeg(request, found->second, LegEnd::kCanceled, now);
    }
  }
  Finish finish;
  finish.request = request.submission.id;
  finish.outcome = request.stream.GiveUp();
  finish.reason = std::move(reason);
  finish.retry_after = retry_after;
  FinishRequest(request, std::move(finish), now);
}

void Engine::State::Abort(Request& request, const routing::NoPlan& no_plan,
                          core::Instant now) {
  const Completion* completion = request.completion();
  std::string reason;
  if (completion == nullptr) {
    reason = "no upstream available for service '" +
             std::get<ServiceCall>(request.submission.work).service.value() +
             "'";
  } else if (no_plan.missing.empty()) {
    reason =
        "no upstream available for model '" + completion->model.value() + "'";
  } else {
    reason = "no upstream available for layers " +
             routing::FormatLayerRanges(no_plan.missing) + " of model '" +
             completion->model.value() + "'";
  }
  if (no_plan.reason == routing::NoPlan::Reason::kInBackoff) {
    reason += " other than those avoided after recent failures";
  }
  Abort(request, std::move(reason), no_plan.retry_after, now);
}

void Engine::State::FinishRequest(Request& request, Finish finish,
                                  core::Instant now) {
  SettleClaim(request, finish);
  queue_.Remove(finish.request, now);
  requests_.erase(finish.request);
  queue_pass_needed_ = true;
  actions_.emplace_back(std::move(finish));
}

void Engine::State::SettleClaim(Request& request, const Finish& finish) {
  if (request.claim == ClaimState::kNone) return;
  const std::string& key = request.submission.idempotency_key;
  if (request.claim == ClaimState::kRequested) {
    actions_.emplace_back(ReleaseClaim{finish.request, key});
    undecided_claims_.emplace_back(finish.request, key);
    if (undecided_claims_.size() > internal::kMaxUndecidedClaims) {
      undecided_claims_.pop_front();
    }
    return;
  }
  if (finish.outcome == core::Outcome::kNotRun) {
    actions_.emplace_back(ReleaseClaim{finish.request, key});
    return;
  }
  RecordOutcome record{finish.request, key, finish.outcome, finish.status,
                       finish.body};
  if (record.body.size() > internal::kMaxRecordedBody) record.body.clear();
  actions_.emplace_back(std::move(record));
}

}  // namespace foxquay::dispatch
