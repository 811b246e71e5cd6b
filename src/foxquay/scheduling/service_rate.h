#ifndef FOXQUAY_SCHEDULING_SERVICE_RATE_H_
#define FOXQUAY_SCHEDULING_SERVICE_RATE_H_

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Measures how fast one flow is served while it has legs waiting.
///
/// The rate is service time per elapsed time, i.e. the number of slots that the
/// flow gets. It therefore reflects what other flows take, also with work that
/// arrives later. Not thread-safe.
class ServiceRate {
 public:
  /// Records whether legs are waiting from `now` on.
  void SetBacklogged(bool backlogged, core::Instant now) noexcept;
  /// Adds the service time of a completed leg; ignored while no leg waits.
  void Add(core::Duration service, core::Instant now) noexcept;

  /// Returns the rate. `expected` is the rate to assume without samples; its
  /// weight falls as samples are added.
  [[nodiscard]] double Rate(double expected) const noexcept;

 private:
  /// Ages the sums up to `now`.
  void Advance(core::Instant now) noexcept;

  double served_seconds_ = 0;      ///< Seconds of service, weighted by age.
  double backlogged_seconds_ = 0;  ///< Seconds with a backlog, weighted alike.
  bool backlogged_ = false;
  core::Instant last_update_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_SERVICE_RATE_H_
