#ifndef FOXQUAY_ROUTING_LAYER_TIME_H_
#define FOXQUAY_ROUTING_LAYER_TIME_H_

#include <cstdint>

#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Learnt time of one layer and token on one upstream, in seconds.
///
/// What was learnt loses weight against the prior, the time of upstreams of the
/// same accelerator, so that one that was slow for a while is tried again.
class LayerTimeEstimate {
 public:
  /// Before anything is learnt.
  static constexpr double kInitialSeconds = 500e-6;

  /// Returns the estimate.
  [[nodiscard]] double Seconds(core::Instant now) const noexcept;
  /// Moves the estimate by `change`.
  void Adjust(double change, core::Instant now) noexcept;
  /// Sets the time of upstreams of the same accelerator.
  void SetPrior(double seconds) noexcept { prior_ = seconds; }

 private:
  double prior_ = kInitialSeconds;
  double learnt_ = kInitialSeconds;
  core::Instant learnt_at_{};
};

/// Mean layer time of the upstreams with one accelerator.
struct MeanLayerTime {
  double seconds = LayerTimeEstimate::kInitialSeconds;
  std::uint64_t samples = 0;

  /// Adds the estimate of one upstream.
  void Add(double value) noexcept;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_LAYER_TIME_H_
