#include "foxquay/scheduling/latency_signal.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::scheduling::internal {
namespace {

// A stage of a chain also sees the latency of the others; at this weight one
// slow stage among four does not make its neighbours look slow.
constexpr double kWeight = 1.0 / 32;
// Samples before the minimum is meaningful.
constexpr std::uint32_t kMinSamples = 8;
constexpr double kSlowFactor = 2;
// The minimum doubles in this time, so that a lasting change of the work is
// learnt while a slow upstream stays known as slow for half an hour.
constexpr std::chrono::duration<double> kFloorDoubling =
    std::chrono::minutes(10);

core::Duration Rounded(double nanoseconds) noexcept {
  return core::Duration(static_cast<core::Duration::rep>(nanoseconds));
}

}  // namespace

void LatencySignal::Add(core::Duration sample, core::Instant now) noexcept {
  const auto value = static_cast<double>(sample.count());
  ++samples_;
  smoothed_ += (value - smoothed_) * std::max(kWeight, 1.0 / samples_);
  if (samples_ < kMinSamples) {
    last_ = now;
    return;
  }
  // The smoothed value is used because tokens that arrive together have a gap
  // of zero.
  const std::chrono::duration<double> elapsed = now - last_;
  last_ = now;
  floor_ =
      samples_ == kMinSamples
          ? smoothed_
          : std::min(smoothed_, floor_ * std::exp2(elapsed / kFloorDoubling));
}

core::Duration LatencySignal::smoothed() const noexcept {
  return Rounded(smoothed_);
}

core::Duration LatencySignal::floor() const noexcept { return Rounded(floor_); }

bool LatencySignal::Slow() const noexcept {
  if (samples_ < kMinSamples) return false;
  return smoothed_ > kSlowFactor * floor_ + static_cast<double>(slack_.count());
}

}  // namespace foxquay::scheduling::internal
