#include "foxquay/scheduling/in_flight_limit.h"

#include <algorithm>

namespace foxquay::scheduling {

// Baseline: the limit is always the maximum; observations are ignored.

InFlightLimit::InFlightLimit(std::uint32_t maximum)
    : limit_(std::max(1U, maximum)),
      maximum_(std::max(1U, maximum)),
      first_token_(core::Duration::zero()),
      token_(core::Duration::zero()) {}

void InFlightLimit::SetMaximum(std::uint32_t maximum) noexcept {
  maximum_ = std::max(1U, maximum);
  limit_ = maximum_;
}

std::uint32_t InFlightLimit::limit() const noexcept { return maximum_; }

void InFlightLimit::ObserveFirstToken(
    [[maybe_unused]] core::Duration per_unit,
    [[maybe_unused]] std::uint32_t in_flight,
    [[maybe_unused]] core::Instant now) noexcept {}

void InFlightLimit::ObserveToken([[maybe_unused]] core::Duration gap,
                                 [[maybe_unused]] std::uint32_t in_flight,
                                 [[maybe_unused]] core::Instant now) noexcept {}

void InFlightLimit::ObserveFailure(
    [[maybe_unused]] core::Instant now) noexcept {}

}  // namespace foxquay::scheduling
