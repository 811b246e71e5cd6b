#include "foxquay/routing/failure_record.h"

#include <algorithm>
#include <chrono>

namespace foxquay::routing {
namespace internal {

constexpr core::Duration kFirstAvoidance = std::chrono::seconds(1);
constexpr std::uint32_t kMaxDoublings = 5;
/// Factor just after avoidance: seven of eight comparisons against an equally
/// loaded upstream are lost.
constexpr double kReturnFactor = 8;
constexpr core::Duration kSuspicionLife = std::chrono::seconds(10);
constexpr double kSuspicionStep = 3;
constexpr std::uint32_t kMaxSuspicions = 5;

}  // namespace internal

void FailureRecord::RecordFailure(core::Instant now) noexcept {
  const core::Duration avoidance =
      internal::kFirstAvoidance *
      (1U << std::min(failures_, internal::kMaxDoublings));
  ++failures_;
  until_ = now + avoidance;
  ramp_end_ = until_ + 2 * avoidance;
}

void FailureRecord::RecordSuspicion(core::Instant now) noexcept {
  if (now >= suspected_until_) suspicions_ = 0;
  suspicions_ = std::min(suspicions_ + 1, internal::kMaxSuspicions);
  suspected_until_ = now + internal::kSuspicionLife;
}

void FailureRecord::RecordSuccess(core::Instant now) noexcept {
  suspicions_ = 0;
  if (now >= ramp_end_) failures_ = 0;
}

double FailureRecord::PenaltyFactor(core::Instant now) const noexcept {
  double factor = 1;
  if (now < ramp_end_ && ramp_end_ > until_) {
    const double left = std::chrono::duration<double>(ramp_end_ - now) /
                        std::chrono::duration<double>(ramp_end_ - until_);
    factor += (internal::kReturnFactor - 1) * std::min(left, 1.0);
  }
  if (now < suspected_until_) {
    factor += internal::kSuspicionStep * suspicions_;
  }
  return factor;
}

}  // namespace foxquay::routing
