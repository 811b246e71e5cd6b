#ifndef FOXQUAY_SCHEDULING_IN_FLIGHT_LIMIT_H_
#define FOXQUAY_SCHEDULING_IN_FLIGHT_LIMIT_H_

#include <cstdint>

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/latency_signal.h"

namespace foxquay::scheduling {

/// Limits the legs that this host runs on one upstream at once.
///
/// Additive increase while the limit is used and latency is near its own
/// minimum; multiplicative decrease when latency is well above it or a leg
/// fails. `in_flight` in all members is the current count of this host's own
/// legs on the upstream. Not thread-safe.
class InFlightLimit {
 public:
  /// Starts at, and never exceeds, `maximum`.
  explicit InFlightLimit(std::uint32_t maximum);

  /// Sets the upper bound, at least 1.
  void SetMaximum(std::uint32_t maximum) noexcept;

  /// Learns the time to first token per prompt unit.
  void ObserveFirstToken(core::Duration per_unit, std::uint32_t in_flight,
                         core::Instant now) noexcept;
  /// Learns the time between two tokens of a leg.
  void ObserveToken(core::Duration gap, std::uint32_t in_flight,
                    core::Instant now) noexcept;
  /// Learns that the upstream failed or refused a leg.
  void ObserveFailure(core::Instant now) noexcept;

  /// Returns the limit, at least 1 so that a slow upstream is still tried.
  [[nodiscard]] std::uint32_t limit() const noexcept;
  /// Returns the smoothed time between tokens; zero if unknown.
  [[nodiscard]] core::Duration TokenTime() const noexcept {
    return token_.smoothed();
  }

 private:
  void Adapt(std::uint32_t in_flight, core::Instant now) noexcept;
  void Decrease(core::Instant now) noexcept;

  double limit_;
  std::uint32_t maximum_;
  internal::LatencySignal first_token_;
  internal::LatencySignal token_;
  core::Instant last_increase_;
  core::Instant last_decrease_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_IN_FLIGHT_LIMIT_H_
