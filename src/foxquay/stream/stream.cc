#include "foxquay/stream/stream.h"

#include <algorithm>
#include <cassert>

namespace foxquay::stream {
namespace internal {

/// Consecutive failed legs or calls without a token after which a request ends.
/// The retry budget of its workspace may end it earlier.
constexpr std::uint32_t kMaxConsecutiveFailures = 4;

}  // namespace internal

Stream::Stream(Terms terms)
    : terms_(terms), phase_(terms.claim ? Phase::kClaiming : Phase::kWaiting) {}

void Stream::GrantClaim() {
  assert(phase_ == Phase::kClaiming && "GrantClaim called outside kClaiming");
  phase_ = Phase::kWaiting;
}

bool Stream::IsRunning(core::LegId leg) const noexcept {
  return phase_ == Phase::kRunning && leg_ == leg;
}

void Stream::Dispatch(core::LegId leg) {
  assert(phase_ == Phase::kWaiting && "leg or call started outside kWaiting");
  phase_ = Phase::kRunning;
  leg_ = leg;
  ++epoch_;
  may_have_run_before_leg_ = may_have_run_;
  may_have_run_ = true;
}

LegTerms Stream::StartLeg(core::LegId leg, std::uint32_t max_leg_tokens,
                          core::Duration token_timeout, core::Instant now) {
  Dispatch(leg);
  const auto first = static_cast<std::uint32_t>(delivered_.size());
  const std::uint32_t count =
      std::min(terms_.max_tokens - first, std::max(max_leg_tokens, 1U));
  leg_end_ = first + count;
  token_timeout_ = token_timeout;
  token_deadline_ = now + token_timeout;
  return {epoch_, first, count};
}

void Stream::StartCall(core::LegId leg) { Dispatch(leg); }

TokenVerdict Stream::AddToken(core::LegId leg, std::uint64_t epoch,
                              std::uint32_t index, const std::string& text,
                              core::Instant now) {
  if (!IsRunning(leg) || epoch != epoch_) return TokenVerdict::kDrop;
  if (index < delivered_.size()) return TokenVerdict::kDrop;
  if (index > delivered_.size() || index >= leg_end_) return TokenVerdict::kGap;
  delivered_.push_back(text);
  may_have_run_before_leg_ = true;
  consecutive_failures_ = 0;
  token_deadline_ = now + token_timeout_;
  return delivered_.size() == terms_.max_tokens ? TokenVerdict::kLast
                                                : TokenVerdict::kDeliver;
}

Next Stream::EndLeg(core::LegId leg, LegEnd end) {
  if (!IsRunning(leg)) return Next::kNothing;
  if (delivered_.size() == terms_.max_tokens) return Complete();
  switch (end) {
    case LegEnd::kStop:
    case LegEnd::kLength:
    case LegEnd::kChunk:
      return EndSucceeded(end);
    case LegEnd::kRefused:
      return EndNotRun();
    case LegEnd::kFailed:
    case LegEnd::kCanceled:
      break;
  }
  return EndFailed();
}

Next Stream::EndSucceeded(LegEnd end) {
  if (end == LegEnd::kStop) return Complete();
  // A leg that ends before its last token, or reports kLength before max_tokens
  // are delivered, has lost tokens. They run again under a new epoch.
  if (end != LegEnd::kChunk || delivered_.size() != leg_end_) {
    return EndFailed();
  }
  phase_ = Phase::kWaiting;
  leg_.reset();
  token_deadline_.reset();
  return Next::kContinue;
}

Next Stream::EndNotRun() {
  may_have_run_ = may_have_run_before_leg_;
  phase_ = Phase::kWaiting;
  leg_.reset();
  token_deadline_.reset();
  ++consecutive_failures_;
  return consecutive_failures_ >= internal::kMaxConsecutiveFailures
             ? Next::kGiveUp
             : Next::kRetry;
}

Next Stream::EndFailed() {
  phase_ = Phase::kWaiting;
  leg_.reset();
  token_deadline_.reset();
  ++consecutive_failures_;
  if (terms_.no_repeat) return Next::kGiveUp;
  return consecutive_failures_ >= internal::kMaxConsecutiveFailures
             ? Next::kGiveUp
             : Next::kRetry;
}

Next Stream::Complete() {
  phase_ = Phase::kFinished;
  leg_.reset();
  token_deadline_.reset();
  return Next::kComplete;
}

Next Stream::CompleteCall(core::LegId leg) {
  return IsRunning(leg) ? Complete() : Next::kNothing;
}

Next Stream::FailCall(core::LegId leg, bool sent) {
  if (!IsRunning(leg)) return Next::kNothing;
  return sent ? EndFailed() : EndNotRun();
}

core::Outcome Stream::GiveUp() {
  assert(phase_ != Phase::kFinished &&
         "GiveUp called after the request finished");
  phase_ = Phase::kFinished;
  leg_.reset();
  token_deadline_.reset();
  if (!may_have_run_) return core::Outcome::kNotRun;
  return terms_.no_repeat ? core::Outcome::kUnknown : core::Outcome::kFailed;
}

}  // namespace foxquay::stream
