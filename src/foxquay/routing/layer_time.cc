#include "foxquay/routing/layer_time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::routing {
namespace internal {

/// Age at which the learnt part of an estimate has decayed to 1/e.
constexpr double kDecaySeconds = 10;
/// Bounds of an estimate.
constexpr double kMinSeconds = 1e-6;
constexpr double kMaxSeconds = 1;
/// Samples over which a mean is taken; later ones have exponentially decreasing
/// weights.
constexpr double kMeanSamples = 200;

}  // namespace internal

double LayerTimeEstimate::Seconds(core::Instant now) const noexcept {
  const double age = std::chrono::duration<double>(now - learnt_at_).count();
  return prior_ + (learnt_ - prior_) * std::exp(-age / internal::kDecaySeconds);
}

void LayerTimeEstimate::Adjust(double change, core::Instant now) noexcept {
  learnt_ = std::clamp(Seconds(now) + change, internal::kMinSeconds,
                       internal::kMaxSeconds);
  learnt_at_ = now;
}

void MeanLayerTime::Add(double value) noexcept {
  ++samples;
  const double weight =
      std::max(1.0 / static_cast<double>(samples), 1 / internal::kMeanSamples);
  seconds += weight * (value - seconds);
}

}  // namespace foxquay::routing
