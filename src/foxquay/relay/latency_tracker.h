#ifndef FOXQUAY_RELAY_LATENCY_TRACKER_H_
#define FOXQUAY_RELAY_LATENCY_TRACKER_H_

#include <optional>

#include "foxquay/core/time.h"

namespace foxquay::relay {

/// How much slower an upstream is than it has shown it can be, from the times
/// that this host observes there: gaps between events of streams, or answers.
///
/// Answers the load where some upstreams turn slow while they stay in use.
/// Without observations the lag fades, so that traffic returns step by step.
/// Not thread-safe.
class LatencyTracker {
 public:
  /// Takes one observed time.
  void Record(core::Duration observed, core::Instant now);

  /// Returns the lag behind the best time, at most the latest average.
  [[nodiscard]] core::Duration Slowdown(core::Instant now) const;
  /// Returns the average time with the faded lag; zero without observations.
  [[nodiscard]] core::Duration MeanLatency(core::Instant now) const;

 private:
  std::optional<core::Duration> average_;
  core::Duration best_{};
  core::Instant recorded_at_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_LATENCY_TRACKER_H_
