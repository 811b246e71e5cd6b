#include "foxquay/routing/speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxquay::routing {
namespace internal {

constexpr double kMemorySeconds = 10;
constexpr double kLeastSeconds = 1e-6;
constexpr double kMostSeconds = 1;
/// Samples over which the mean of a kind is taken.
constexpr double kKindSamples = 200;

}  // namespace internal

double Speed::Seconds(core::Instant now) const noexcept {
  const double age = std::chrono::duration<double>(now - learnt_at_).count();
  return prior_ +
         (learnt_ - prior_) * std::exp(-age / internal::kMemorySeconds);
}

void Speed::Move(double change, core::Instant now) noexcept {
  learnt_ = std::clamp(Seconds(now) + change, internal::kLeastSeconds,
                       internal::kMostSeconds);
  learnt_at_ = now;
}

void KindSpeed::Add(double value) noexcept {
  ++samples;
  const double weight =
      std::max(1.0 / static_cast<double>(samples), 1 / internal::kKindSamples);
  seconds += weight * (value - seconds);
}

}  // namespace foxquay::routing
