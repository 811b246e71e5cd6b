#include "foxquay/scheduling/latency_signal.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::scheduling::internal {
namespace {

// Least weight of a sample. A stage of a chain also sees the latency of the
// other stages; at this weight one slow stage among four does not make the
// others look slow.
constexpr double kSmoothingWeight = 1.0 / 32;
// Samples before the minimum is meaningful; it starts at the smoothed latency.
constexpr std::uint32_t kMinSamples = 8;
// Ratio to the minimum above which, plus the slack, latency is slow.
constexpr double kSlowFactor = 2;
// Time in which the minimum doubles. A lasting change of the workload is
// learnt, while a slow upstream still counts as slow for half an hour.
constexpr std::chrono::duration<double> kMinimumDoublingTime =
    std::chrono::minutes(10);

core::Duration ToDuration(double nanoseconds) noexcept {
  return core::Duration(static_cast<core::Duration::rep>(nanoseconds));
}

}  // namespace

void LatencySignal::Add(core::Duration sample, core::Instant now) noexcept {
  const auto value = static_cast<double>(sample.count());
  ++samples_;
  smoothed_ += (value - smoothed_) * std::max(kSmoothingWeight, 1.0 / samples_);
  if (samples_ < kMinSamples) {
    last_sample_time_ = now;
    return;
  }
  // The minimum is that of the smoothed value, because tokens that arrive
  // together give samples of zero.
  const std::chrono::duration<double> elapsed = now - last_sample_time_;
  last_sample_time_ = now;
  minimum_ =
      samples_ == kMinSamples
          ? smoothed_
          : std::min(smoothed_,
                     minimum_ * std::exp2(elapsed / kMinimumDoublingTime));
}

core::Duration LatencySignal::smoothed() const noexcept {
  return ToDuration(smoothed_);
}

core::Duration LatencySignal::minimum() const noexcept {
  return ToDuration(minimum_);
}

bool LatencySignal::Slow() const noexcept {
  if (samples_ < kMinSamples) return false;
  return smoothed_ >
         kSlowFactor * minimum_ + static_cast<double>(slack_.count());
}

}  // namespace foxquay::scheduling::internal
