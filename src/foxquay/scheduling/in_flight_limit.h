#ifndef FOXQUAY_SCHEDULING_IN_FLIGHT_LIMIT_H_
#define FOXQUAY_SCHEDULING_IN_FLIGHT_LIMIT_H_

#include <cstdint>

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/latency_signal.h"

namespace foxquay::scheduling {

/// Adaptive limit on the legs that this host runs on one upstream at once.
///
/// Additive increase while the limit is in use and latency is near its own
/// minimum; multiplicative decrease when latency is well above the minimum or a
/// leg fails. In all members `in_flight` is the current number of this host's
/// legs on the upstream. Not thread-safe.
class InFlightLimit {
 public:
  /// Starts at `maximum`, which the limit never exceeds.
  explicit InFlightLimit(std::uint32_t maximum);

  /// Sets the upper bound, raised to 1 if it is 0. A limit at the old bound
  /// follows to the new one.
  void SetMaximum(std::uint32_t maximum) noexcept;

  /// Adds a sample of the time to first token, per prompt unit; see
  /// PromptUnits.
  void ObserveFirstToken(core::Duration per_unit, std::uint32_t in_flight,
                         core::Instant now) noexcept;
  /// Adds a sample of the time between two tokens of a leg.
  void ObserveToken(core::Duration gap, std::uint32_t in_flight,
                    core::Instant now) noexcept;
  /// Decreases the limit because the upstream failed or refused a leg.
  void ObserveFailure(core::Instant now) noexcept;

  /// Returns the limit, at least 1 so that a slow upstream is still tried.
  [[nodiscard]] std::uint32_t limit() const noexcept;
  /// Returns the smoothed time between tokens; zero if unknown.
  [[nodiscard]] core::Duration TokenTime() const noexcept {
    return token_.smoothed();
  }

 private:
  /// Decreases the limit if latency is high, else increases it if it is in use.
  void Adapt(std::uint32_t in_flight, core::Instant now) noexcept;
  /// Decreases the limit, unless it was decreased a short time ago.
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
