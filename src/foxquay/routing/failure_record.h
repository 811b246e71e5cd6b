#ifndef FOXQUAY_ROUTING_FAILURE_RECORD_H_
#define FOXQUAY_ROUTING_FAILURE_RECORD_H_

#include <cstdint>

#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Failures of one upstream, with exponential back-off and a gradual return.
///
/// A failed upstream gets no work for a time that doubles with each consecutive
/// failure. After that its predicted time is multiplied by a penalty factor
/// that falls linearly to 1, so that its traffic returns gradually. Not
/// thread-safe.
class FailureRecord {
 public:
  /// Records a failure that is known to be this upstream's; starts its
  /// back-off.
  void RecordFailure(core::Instant now) noexcept;
  /// Records the failure of a chain that contains this upstream. The failed
  /// stage is not known, so only the penalty factor rises.
  void RecordSuspicion(core::Instant now) noexcept;
  /// Records a leg or call that succeeded.
  void RecordSuccess(core::Instant now) noexcept;

  /// Returns whether the upstream must not get work now.
  [[nodiscard]] bool InBackoff(core::Instant now) const noexcept {
    return now < backoff_end_;
  }
  /// Returns when the last back-off ends.
  [[nodiscard]] core::Instant BackoffEnd() const noexcept {
    return backoff_end_;
  }
  /// Returns the factor by which to multiply the predicted time, at least 1.
  [[nodiscard]] double PenaltyFactor(core::Instant now) const noexcept;

 private:
  std::uint32_t failures_ = 0;    ///< Consecutive.
  std::uint32_t suspicions_ = 0;  ///< Consecutive.
  core::Instant backoff_end_{};
  core::Instant recovery_end_{};
  core::Instant suspected_until_{};
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_FAILURE_RECORD_H_
