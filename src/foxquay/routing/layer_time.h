#ifndef FOXQUAY_ROUTING_LAYER_TIME_H_
#define FOXQUAY_ROUTING_LAYER_TIME_H_

#include <cstdint>

#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Estimated time that one upstream takes for one layer of one token, in
/// seconds.
///
/// The learnt value decays towards a prior, the mean of the upstreams with the
/// same accelerator, so that an upstream that was slow for a while is tried
/// again. Not thread-safe.
class LayerTimeEstimate {
 public:
  /// Estimate before anything is learnt.
  static constexpr double kInitialSeconds = 500e-6;

  /// Returns the estimate, in seconds.
  [[nodiscard]] double Seconds(core::Instant now) const noexcept;
  /// Adds `change`, in seconds, to the estimate; the result is clamped.
  void Adjust(double change, core::Instant now) noexcept;
  /// Sets the value, in seconds, towards which the estimate decays.
  void SetPrior(double seconds) noexcept { prior_ = seconds; }

 private:
  double prior_ = kInitialSeconds;
  double learnt_ = kInitialSeconds;
  core::Instant learnt_at_{};
};

/// Running mean of layer times, e.g. of the upstreams with one accelerator.
struct MeanLayerTime {
  double seconds = LayerTimeEstimate::kInitialSeconds;
  std::uint64_t samples = 0;

  /// Adds the estimate of one upstream, in seconds.
  void Add(double value) noexcept;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_LAYER_TIME_H_
