#include "foxquay/scheduling/service_rate.h"

#include <chrono>
#include <cmath>

namespace foxquay::scheduling {
namespace {

// Backlogged time after which a sample has 1/e of its weight; several swings
// of demand long.
constexpr double kMemory = 30;
// Weight of the expected rate, as if it had been measured for so long.
constexpr double kExpectedSeconds = 2;

double Seconds(core::Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ServiceRate::Advance(core::Instant now) noexcept {
  if (backlogged_) {
    const double elapsed = Seconds(now - last_);
    const double kept = std::exp(-elapsed / kMemory);
    served_ *= kept;
    time_ = time_ * kept + elapsed;
  }
  last_ = now;
}

void ServiceRate::SetBacklogged(bool backlogged, core::Instant now) noexcept {
  Advance(now);
  backlogged_ = backlogged;
}

void ServiceRate::Add(core::Duration service, core::Instant now) noexcept {
  Advance(now);
  if (backlogged_) served_ += Seconds(service);
}

double ServiceRate::Rate(double expected) const noexcept {
  return (served_ + expected * kExpectedSeconds) / (time_ + kExpectedSeconds);
}

}  // namespace foxquay::scheduling
