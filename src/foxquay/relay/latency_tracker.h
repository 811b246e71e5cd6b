#ifndef FOXQUAY_RELAY_LATENCY_TRACKER_H_
#define FOXQUAY_RELAY_LATENCY_TRACKER_H_

#include <optional>

#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Tracks the latency of one upstream and how far it is above the best mean
/// latency observed there. Samples are the times that this host measures: gaps
/// between events of a stream, or times to an answer.
///
/// Lets the router shift load away from upstreams that become slow while they
/// are in use. Without samples both estimates decay, so that traffic returns
/// gradually and shows whether they still hold. Not thread-safe.
class LatencyTracker {
 public:
  /// Adds one sample.
  void Record(core::Duration observed, core::Instant now);

  /// Records that a request was given up after `bound` without an answer. If
  /// the mean of the recent samples is lower, it is raised to `bound`, and to
  /// twice as much with each further such request without a sample between, as
  /// how long they would have taken is not known. Requests that were under way
  /// together count as one.
  void RecordAtLeast(core::Duration bound, core::Instant now);

  /// Returns by how much the mean latency exceeds the best one beyond normal
  /// variation, with decay since the last sample; zero without samples.
  [[nodiscard]] core::Duration Slowdown(core::Instant now) const;
  /// Returns the mean of the samples; nothing without samples.
  [[nodiscard]] std::optional<core::Duration> Mean() const noexcept {
    return average_;
  }
  /// Returns the mean of the recent samples, with decay since the last one;
  /// zero without samples.
  [[nodiscard]] core::Duration RecentLatency(core::Instant now) const;

 private:
  std::optional<core::Duration> average_;  ///< Moving average of the samples.
  core::Duration best_{};                  ///< Lowest value of the average.
  /// Moving average in which older samples weigh less the longer ago they are.
  core::Duration recent_{};
  core::Instant recorded_at_;
  int unanswered_ = 0;  ///< Requests given up since the last sample.
  core::Instant unanswered_at_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_LATENCY_TRACKER_H_
