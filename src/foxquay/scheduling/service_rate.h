#ifndef FOXQUAY_SCHEDULING_SERVICE_RATE_H_
#define FOXQUAY_SCHEDULING_SERVICE_RATE_H_

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Measures how fast one flow is served while it has legs waiting.
///
/// The rate is service time per time, i.e. the slots that the flow gets. It
/// includes what other flows take, also by work that arrives later. Not
/// thread-safe.
class ServiceRate {
 public:
  /// Notes whether legs wait from `now` on.
  void SetBacklogged(bool backlogged, core::Instant now) noexcept;
  /// Adds a completed leg.
  void Add(core::Duration service, core::Instant now) noexcept;

  /// Returns the rate; without recent samples it is near `expected`.
  [[nodiscard]] double Rate(double expected) const noexcept;

 private:
  void Advance(core::Instant now) noexcept;

  double served_seconds_ = 0;      ///< Seconds of service, weighted by age.
  double backlogged_seconds_ = 0;  ///< Seconds with a backlog, weighted alike.
  bool backlogged_ = false;
  core::Instant last_update_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_SERVICE_RATE_H_
