#ifndef FOXQUAY_SCHEDULING_LATENCY_SIGNAL_H_
#define FOXQUAY_SCHEDULING_LATENCY_SIGNAL_H_

#include <cstdint>

#include "foxquay/core/time.h"

namespace foxquay::scheduling::internal {

/// Compares a smoothed latency with its own minimum. Not thread-safe.
class LatencySignal {
 public:
  /// `slack` is the excess over twice the minimum that does not count as slow
  /// yet.
  explicit LatencySignal(core::Duration slack) : slack_(slack) {}

  /// Adds a sample.
  void Add(core::Duration sample, core::Instant now) noexcept;

  /// Returns the smoothed latency; zero without samples.
  [[nodiscard]] core::Duration smoothed() const noexcept;
  /// Returns the minimum of the smoothed latency, which rises slowly with time;
  /// zero before there are enough samples.
  [[nodiscard]] core::Duration minimum() const noexcept;
  /// Returns whether the smoothed latency is well above its minimum.
  [[nodiscard]] bool Slow() const noexcept;

 private:
  core::Duration slack_;
  double smoothed_ = 0;  ///< Nanoseconds.
  double minimum_ = 0;   ///< Nanoseconds.
  core::Instant last_sample_time_;
  std::uint32_t samples_ = 0;
};

}  // namespace foxquay::scheduling::internal

#endif  // FOXQUAY_SCHEDULING_LATENCY_SIGNAL_H_
