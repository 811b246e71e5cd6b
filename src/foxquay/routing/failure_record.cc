#include "foxquay/routing/failure_record.h"

#include <algorithm>
#include <chrono>

namespace foxquay::routing {
namespace internal {

/// Back-off after the first failure.
constexpr core::Duration kInitialBackoff = std::chrono::seconds(1);
/// Doublings after which the back-off stays at 32 s.
constexpr std::uint32_t kMaxDoublings = 5;
/// Penalty factor just after back-off: the upstream loses seven of eight
/// comparisons with an equally loaded one.
constexpr double kRecoveryPenalty = 8;
/// Time after the last suspicion in which it raises the penalty factor.
constexpr core::Duration kSuspicionDuration = std::chrono::seconds(10);
/// Added to the penalty factor for each suspicion.
constexpr double kPenaltyPerSuspicion = 3;
constexpr std::uint32_t kMaxSuspicions = 5;

}  // namespace internal

void FailureRecord::RecordFailure(core::Instant now) noexcept {
  const core::Duration backoff =
      internal::kInitialBackoff *
      (1U << std::min(failures_, internal::kMaxDoublings));
  ++failures_;
  backoff_end_ = now + backoff;
  recovery_end_ = backoff_end_ + 2 * backoff;
}

void FailureRecord::RecordSuspicion(core::Instant now) noexcept {
  if (now >= suspected_until_) suspicions_ = 0;
  suspicions_ = std::min(suspicions_ + 1, internal::kMaxSuspicions);
  suspected_until_ = now + internal::kSuspicionDuration;
}

void FailureRecord::RecordSuccess(core::Instant now) noexcept {
  suspicions_ = 0;
  if (now >= recovery_end_) failures_ = 0;
}

double FailureRecord::PenaltyFactor(core::Instant now) const noexcept {
  double factor = 1;
  if (now < recovery_end_ && recovery_end_ > backoff_end_) {
    const double left =
        std::chrono::duration<double>(recovery_end_ - now) /
        std::chrono::duration<double>(recovery_end_ - backoff_end_);
    factor += (internal::kRecoveryPenalty - 1) * std::min(left, 1.0);
  }
  if (now < suspected_until_) {
    factor += internal::kPenaltyPerSuspicion * suspicions_;
  }
  return factor;
}

}  // namespace foxquay::routing
