#ifndef FOXQUAY_ROUTING_FAILURE_RECORD_H_
#define FOXQUAY_ROUTING_FAILURE_RECORD_H_

#include <cstdint>

#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Failure record of one upstream.
///
/// A failed upstream is avoided for a time that doubles with each failure in a
/// row; then its predicted time is multiplied by a factor that falls to 1, so
/// that its traffic returns gradually.
class FailureRecord {
 public:
  /// Records a failure that is certainly this upstream's.
  void RecordFailure(core::Instant now) noexcept;
  /// Records that a chain with this upstream fell silent; the culprit may be
  /// another stage, so it raises the factor only.
  void RecordSuspicion(core::Instant now) noexcept;
  /// Records a leg that ended well.
  void RecordSuccess(core::Instant now) noexcept;

  /// Returns whether the upstream must not be used.
  [[nodiscard]] bool InBackoff(core::Instant now) const noexcept {
    return now < backoff_end_;
  }
  /// Returns when backoff ends.
  [[nodiscard]] core::Instant BackoffEnd() const noexcept {
    return backoff_end_;
  }
  /// Returns the factor on the predicted time, at least 1.
  [[nodiscard]] double PenaltyFactor(core::Instant now) const noexcept;

 private:
  std::uint32_t failures_ = 0;
  std::uint32_t suspicions_ = 0;
  core::Instant backoff_end_{};
  core::Instant recovery_end_{};
  core::Instant suspected_until_{};
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_FAILURE_RECORD_H_
