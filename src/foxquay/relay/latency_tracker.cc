#include "foxquay/relay/latency_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::relay {
namespace internal {

/// Weight of one sample in the moving average. A change shows within about
/// twenty samples, which is half a second of one stream.
constexpr double kSampleWeight = 0.08;

/// Time constant of the decay without samples: the slowdown falls to about a
/// third within it.
constexpr double kDecaySeconds = 3.0;

/// Fraction of the best latency that counts as normal variation.
constexpr double kNormalVariation = 0.3;

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace internal

void LatencyTracker::Record(core::Duration observed, core::Instant now) {
  if (!average_) {
    average_ = observed;
    best_ = observed;
  } else {
    *average_ += core::Scale(observed - *average_, internal::kSampleWeight);
    best_ = std::min(best_, *average_);
  }
  recorded_at_ = now;
}

core::Duration LatencyTracker::Slowdown(core::Instant now) const {
  if (!average_) return {};
  const core::Duration slowdown =
      *average_ - best_ - core::Scale(best_, internal::kNormalVariation);
  if (slowdown <= core::Duration::zero()) return {};
  const double idle = internal::Seconds(now - recorded_at_);
  return core::Scale(slowdown, std::exp(-idle / internal::kDecaySeconds));
}

core::Duration LatencyTracker::MeanLatency(core::Instant now) const {
  if (!average_) return {};
  return std::min(*average_, best_ + Slowdown(now));
}

}  // namespace foxquay::relay
