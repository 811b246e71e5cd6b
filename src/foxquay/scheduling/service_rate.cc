#include "foxquay/scheduling/service_rate.h"

#include <chrono>
#include <cmath>

namespace foxquay::scheduling {
namespace {

// Backlogged time after which the weight of a sample is 1/e; long enough to
// cover several swings of demand.
constexpr double kDecaySeconds = 30;
// Weight of the expected rate, as if it had been measured for this time.
constexpr double kPriorSeconds = 2;

double Seconds(core::Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceRate::Advance(core::Instant now) noexcept {
  if (backlogged_) {
    const double elapsed = Seconds(now - last_update_);
    const double kept = std::exp(-elapsed / kDecaySeconds);
    served_seconds_ *= kept;
    backlogged_seconds_ = backlogged_seconds_ * kept + elapsed;
  }
  last_update_ = now;
}

void ServiceRate::SetBacklogged(bool backlogged, core::Instant now) noexcept {
  Advance(now);
  backlogged_ = backlogged;
}

void ServiceRate::Add(core::Duration service, core::Instant now) noexcept {
  Advance(now);
  if (backlogged_) served_seconds_ += Seconds(service);
}

double ServiceRate::Rate(double expected) const noexcept {
  return (served_seconds_ + expected * kPriorSeconds) /
         (backlogged_seconds_ + kPriorSeconds);
}

}  // namespace foxquay::scheduling
