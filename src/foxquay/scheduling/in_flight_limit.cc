#include "foxquay/scheduling/in_flight_limit.h"

#include <algorithm>
#include <chrono>

namespace foxquay::scheduling {
namespace {

// Slack of each latency, see LatencySignal.
constexpr core::Duration kFirstTokenSlack = std::chrono::milliseconds(50);
constexpr core::Duration kTokenSlack = std::chrono::milliseconds(5);
// Least time between a change of the limit and an increase.
constexpr core::Duration kIncreaseInterval = std::chrono::seconds(1);
// Least time between two decreases. Four of them bring a limit of 16 to 1
// within 2 s.
constexpr core::Duration kDecreaseInterval = std::chrono::milliseconds(500);
constexpr double kDecreaseFactor = 0.5;

}  // namespace

InFlightLimit::InFlightLimit(std::uint32_t maximum)
    : limit_(std::max(1U, maximum)),
      maximum_(std::max(1U, maximum)),
      first_token_(kFirstTokenSlack),
      token_(kTokenSlack) {}

void InFlightLimit::SetMaximum(std::uint32_t maximum) noexcept {
  const bool full = limit_ >= maximum_;
  maximum_ = std::max(1U, maximum);
  limit_ = full ? maximum_ : std::min<double>(limit_, maximum_);
}

std::uint32_t InFlightLimit::limit() const noexcept {
  return static_cast<std::uint32_t>(limit_);
}

void InFlightLimit::ObserveFirstToken(core::Duration per_unit,
                                      std::uint32_t in_flight,
                                      core::Instant now) noexcept {
  first_token_.Add(per_unit, now);
  Adapt(in_flight, now);
}

void InFlightLimit::ObserveToken(core::Duration gap, std::uint32_t in_flight,
                                 core::Instant now) noexcept {
  token_.Add(gap, now);
  Adapt(in_flight, now);
}

void InFlightLimit::ObserveFailure(core::Instant now) noexcept {
  Decrease(now);
}

void InFlightLimit::Adapt(std::uint32_t in_flight, core::Instant now) noexcept {
  if (first_token_.Slow() || token_.Slow()) return Decrease(now);
  if (now - std::max(last_increase_, last_decrease_) < kIncreaseInterval) {
    return;
  }
  // The latency under a limit that is not in use says nothing about a higher
  // one.
  if (in_flight * 2 < limit()) return;
  limit_ = std::min<double>(limit_ + 1, maximum_);
  last_increase_ = now;
}

void InFlightLimit::Decrease(core::Instant now) noexcept {
  // Legs that started before a decrease still report the old latency.
  const core::Duration interval =
      std::max(kDecreaseInterval, first_token_.smoothed());
  if (now - last_decrease_ < interval) return;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  last_decrease_ = now;
}

}  // namespace foxquay::scheduling
