#include "foxquay/relay/pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::relay {
namespace internal {

/// Weight of one observation; a change shows within some twenty, half a second
/// of one stream.
constexpr double kWeight = 0.08;

/// Time in which a lag fades to a third without observations.
constexpr double kFadeSeconds = 3.0;

/// Part of the best time that counts as ordinary variation.
constexpr double kVariation = 0.3;

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace internal

void Pace::Note(core::Duration observed, core::Instant now) {
  if (!average_) {
    average_ = observed;
    best_ = observed;
  } else {
    *average_ += core::Part(observed - *average_, internal::kWeight);
    best_ = std::min(best_, *average_);
  }
  noted_ = now;
}

core::Duration Pace::Lag(core::Instant now) const {
  if (!average_) return {};
  const core::Duration lag =
      *average_ - best_ - core::Part(best_, internal::kVariation);
  if (lag <= core::Duration::zero()) return {};
  const double idle = internal::Seconds(now - noted_);
  return core::Part(lag, std::exp(-idle / internal::kFadeSeconds));
}

core::Duration Pace::Time(core::Instant now) const {
  if (!average_) return {};
  return std::min(*average_, best_ + Lag(now));
}

}  // namespace foxquay::relay
