#include "foxquay/relay/latency_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::relay {
namespace internal {

/// Weight of one sample in the moving average. A change shows within about
/// twenty samples, which is half a second of one stream.
constexpr double kSampleWeight = 0.08;

/// Time constant of the decay without samples: an estimate falls to about a
/// third within it.
constexpr std::chrono::duration<double> kDecay{3.0};

/// Fraction of the best latency that counts as normal variation.
constexpr double kNormalVariation = 0.3;

/// Maximum number of times that the time of requests given up is doubled. The
/// estimate then takes about ten seconds to fade.
constexpr int kMaxUnansweredDoublings = 3;

/// Returns the part of an estimate that remains after a time without samples.
double Remainder(core::Duration idle) {
  return std::exp(-(std::chrono::duration<double>(idle) / kDecay));
}

}  // namespace internal

void LatencyTracker::Record(core::Duration observed, core::Instant now) {
  if (!average_) {
    average_ = observed;
    best_ = observed;
    recent_ = observed;
  } else {
    *average_ += core::Scale(observed - *average_, internal::kSampleWeight);
    best_ = std::min(best_, *average_);
    const double former =
        (1 - internal::kSampleWeight) * internal::Remainder(now - recorded_at_);
    recent_ = observed + core::Scale(recent_ - observed, former);
  }
  recorded_at_ = now;
  unanswered_ = 0;
}

void LatencyTracker::RecordAtLeast(core::Duration bound, core::Instant now) {
  if (bound <= RecentLatency(now)) return;
  if (!average_) average_ = best_ = bound;
  if (now - bound >= unanswered_at_) {
    ++unanswered_;
    unanswered_at_ = now;
  }
  const int doublings =
      std::clamp(unanswered_ - 1, 0, internal::kMaxUnansweredDoublings);
  recent_ = bound * (1 << doublings);
  recorded_at_ = now;
}

core::Duration LatencyTracker::Slowdown(core::Instant now) const {
  if (!average_) return {};
  const core::Duration slowdown =
      *average_ - best_ - core::Scale(best_, internal::kNormalVariation);
  if (slowdown <= core::Duration::zero()) return {};
  return core::Scale(slowdown, internal::Remainder(now - recorded_at_));
}

core::Duration LatencyTracker::RecentLatency(core::Instant now) const {
  return core::Scale(recent_, internal::Remainder(now - recorded_at_));
}

}  // namespace foxquay::relay
