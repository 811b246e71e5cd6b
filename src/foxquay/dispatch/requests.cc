#include <algorithm>
#include <chrono>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {
namespace internal {

/// A leader failover takes under 2 s; a claim not decided by then is given up.
constexpr core::Duration kClaimTimeout = std::chrono::seconds(2);
constexpr core::Duration kRunningRetry = std::chrono::seconds(1);
/// Ended requests whose claim may still be granted, and must then be released.
constexpr std::size_t kMaxUndecidedClaims = 4096;
/// Largest body that the claim log keeps.
constexpr std::size_t kMaxRecordedBody = 4096;

/// Returns whether a request that has not started would miss its deadline.
bool CannotStartInTime(const Request& request, core::Instant now) {
  return request.stream.phase() == stream::Phase::kWaiting &&
         !request.stream.may_have_run() && request.start_by <= now;
}

std::string Reason(ClaimDecision decision) {
  switch (decision) {
    case ClaimDecision::kGranted:
    case ClaimDecision::kComplete:
      return "";
    case ClaimDecision::kRunning:
      return "a request with this idempotency key is running";
    case ClaimDecision::kUnknown:
      return "the answer of an earlier dispatch is lost";
    case ClaimDecision::kExpired:
      return "the idempotency key has expired";
    case ClaimDecision::kMismatch:
      return "the idempotency key belongs to a different request";
    case ClaimDecision::kUnavailable:
      return "no quorum for the claim";
  }
  return "invalid claim decision";
}

}  // namespace internal

std::optional<Refusal> Engine::State::Check(
    const Submission& submission) const {
  const auto* completion = std::get_if<Completion>(&submission.work);
  if (completion == nullptr) return std::nullopt;
  const std::int64_t most =
      policy_.Get(schema::PolicyKey::kRequestMaxTokens, ScopeOf(submission));
  if (completion->max_tokens <= most) return std::nullopt;
  return Refusal{"max_tokens exceeds " + std::to_string(most), std::nullopt};
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
    refusal = Check(submission);
  }
  if (refusal) return RefuseArrival(submission, *refusal);
  Request& request =
      requests_.try_emplace(submission.id, submission, TermsOf(submission, now))
          .first->second;
  if (const Completion* completion = request.completion()) {
    if (!completion->version.empty()) request.version = completion->version;
    request.prefixes = routing::PrefixHashes(
        completion->prompt,
        completion->model.value() + '\n' + completion->adapter);
  }
  const FoundOrNot found = Find(request, now);
  const auto* none = std::get_if<routing::NoPlan>(&found);
  if (none != nullptr && none->reason != routing::NoPlan::Reason::kBusy) {
    return GiveUp(request, *none, now);
  }
  refusal = queue_.Admit(Describe(request), now);
  if (refusal) {
    // Estimates are learnt, so even a deadline that looks too short may be met
    // later: every refusal here names a retry time.
    return GiveUp(request, refusal->reason,
                  refusal->retry_after.value_or(
                      queue_.RetryAfter(Describe(request).pool)),
                  now);
  }
  if (request.stream.phase() == stream::Phase::kClaiming) {
    request.claim = ClaimState::kAsked;
    request.claim_until = now + internal::kClaimTimeout;
    actions_.emplace_back(
        RequestClaim{submission.id, submission.idempotency_key});
  } else {
    Enqueue(request, false, now);
  }
  Arm(request);
}

void Engine::State::RefuseArrival(const Submission& submission,
                                  const Refusal& refusal) {
  Finish end;
  end.request = submission.id;
  end.outcome = core::Outcome::kNotRun;
  end.reason = refusal.reason;
  end.retry_after = refusal.retry_after;
  actions_.emplace_back(std::move(end));
}

void Engine::State::On(const ClaimDecided& event, core::Instant now) {
  Request* request = FindRequest(event.request);
  if (request == nullptr) {
    const auto found = std::find_if(
        undecided_claims_.begin(), undecided_claims_.end(),
        [&](const auto& entry) { return entry.first == event.request; });
    if (found == undecided_claims_.end()) return;
    // The claim may have committed after the release that End asked for.
    if (event.decision == ClaimDecision::kGranted ||
        event.decision == ClaimDecision::kUnavailable) {
      actions_.emplace_back(ReleaseClaim{event.request, found->second});
    }
    undecided_claims_.erase(found);
    return;
  }
  if (request->claim != ClaimState::kAsked) return;
  if (event.decision == ClaimDecision::kGranted) return Grant(*request, now);
  if (event.decision != ClaimDecision::kUnavailable) {
    request->claim = ClaimState::kNone;
  }
  Finish end;
  end.request = event.request;
  end.outcome = core::Outcome::kNotRun;
  end.reason = internal::Reason(event.decision);
  end.claim = event.decision;
  switch (event.decision) {
    case ClaimDecision::kComplete:
      end.outcome = core::Outcome::kComplete;
      end.status = event.status;
      end.body = event.body;
      break;
    case ClaimDecision::kUnknown:
      end.outcome = core::Outcome::kUnknown;
      break;
    case ClaimDecision::kRunning:
      end.retry_after = internal::kRunningRetry;
      break;
    case ClaimDecision::kUnavailable:
      end.retry_after = queue_.RetryAfter(Describe(*request).pool);
      break;
    case ClaimDecision::kGranted:
    case ClaimDecision::kExpired:
    case ClaimDecision::kMismatch:
      break;
  }
  End(*request, std::move(end), now);
}

void Engine::State::Grant(Request& request, core::Instant now) {
  request.claim = ClaimState::kHeld;
  request.stream.GrantClaim();
  Enqueue(request, false, now);
}

void Engine::State::On(const CallerGone& event, core::Instant now) {
  Request* request = FindRequest(event.request);
  if (request == nullptr) return;
  // A claimed call that runs is left to end: its recorded answer serves a
  // repeat of the request.
  if (request->claim == ClaimState::kHeld && request->completion() == nullptr &&
      request->stream.phase() == stream::Phase::kRunning) {
    request->caller_gone = true;
    return;
  }
  GiveUp(*request, "caller closed the connection", std::nullopt, now);
}

void Engine::State::Expire(Request& request, core::Instant now) {
  const core::Duration retry_after = queue_.RetryAfter(Describe(request).pool);
  if (request.stream.terms().deadline <= now) {
    return GiveUp(request, "deadline passed", retry_after, now);
  }
  if (request.claim == ClaimState::kAsked && request.claim_until <= now) {
    return GiveUp(request, "claim was not decided in time", retry_after, now);
  }
  if (internal::CannotStartInTime(request, now)) {
    return GiveUp(request, "queue is too long for the deadline", retry_after,
                  now);
  }
  if (request.stream.token_deadline().value_or(core::Instant::max()) <= now) {
    Silence(request, now);
  }
}

void Engine::State::GiveUp(Request& request, std::string reason,
                           std::optional<core::Duration> retry_after,
                           core::Instant now) {
  if (const auto leg = request.stream.leg()) {
    actions_.emplace_back(CancelLeg{*leg});
    const auto found = legs_.find(*leg);
    if (found != legs_.end()) {
      ReportServed(request, found->second, LegEnd::kCanceled, now);
    }
  }
  Finish end;
  end.request = request.submission.id;
  end.outcome = request.stream.GiveUp();
  end.reason = std::move(reason);
  end.retry_after = retry_after;
  End(request, std::move(end), now);
}

void Engine::State::GiveUp(Request& request, const routing::NoPlan& none,
                           core::Instant now) {
  const Completion* completion = request.completion();
  std::string reason;
  if (completion == nullptr) {
    reason = "no upstream of service '" +
             std::get<ServiceCall>(request.submission.work).service.value() +
             "'";
  } else if (none.missing.empty()) {
    reason = "no upstream of model '" + completion->model.value() + "'";
  } else {
    reason = "no upstream for layers " +
             routing::FormatLayerRanges(none.missing) + " of model '" +
             completion->model.value() + "'";
  }
  if (none.reason == routing::NoPlan::Reason::kInBackoff) {
    reason += " besides those that failed lately";
  }
  GiveUp(request, std::move(reason), none.retry_after, now);
}

void Engine::State::End(Request& request, Finish end, core::Instant now) {
  SettleClaim(request, end);
  queue_.Remove(end.request, now);
  requests_.erase(end.request);
  pump_needed_ = true;
  actions_.emplace_back(std::move(end));
}

void Engine::State::SettleClaim(Request& request, const Finish& end) {
  if (request.claim == ClaimState::kNone) return;
  const std::string& key = request.submission.idempotency_key;
  if (request.claim == ClaimState::kAsked) {
    actions_.emplace_back(ReleaseClaim{end.request, key});
    undecided_claims_.emplace_back(end.request, key);
    if (undecided_claims_.size() > internal::kMaxUndecidedClaims) {
      undecided_claims_.pop_front();
    }
    return;
  }
  if (end.outcome == core::Outcome::kNotRun) {
    actions_.emplace_back(ReleaseClaim{end.request, key});
    return;
  }
  RecordOutcome record{end.request, key, end.outcome, end.status, end.body};
  if (record.body.size() > internal::kMaxRecordedBody) record.body.clear();
  actions_.emplace_back(std::move(record));
}

}  // namespace foxquay::dispatch
