#include "foxquay/scheduling/admission.h"

#include <algorithm>
#include <chrono>

namespace foxquay::scheduling {
namespace {

// Least retry time. A caller that retries sooner finds the same queue.
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(100);
// Largest jitter, as a part of the retry time.
constexpr double kRetryJitter = 0.5;

core::Duration Scale(core::Duration duration, double factor) noexcept {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(duration) * factor);
}

}  // namespace

core::Duration Admission::RetryAfter(const QueueState& queue) {
  const core::Duration base = std::max(kMinRetryAfter, queue.drain);
  std::uniform_real_distribution<double> jitter(0, kRetryJitter);
  return base + Scale(base, jitter(random_));
}

std::optional<Refusal> Admission::Check(const Demand& demand,
                                        const QueueState& queue) {
  if (queue.waiting >= queue.capacity) {
    return Refusal{RefusalReason::kQueueFull, RetryAfter(queue)};
  }
  // An idle pool admits any request. Otherwise an estimate that is too high
  // would refuse all work and never be corrected.
  if (queue.waiting == 0 && queue.running == 0) return std::nullopt;
  if (demand.expected_service > demand.time_left) {
    return Refusal{RefusalReason::kServiceTime, RetryAfter(queue)};
  }
  // While no leg waits there is room, whatever work the admitted requests still
  // need.
  if (queue.waiting == 0) return std::nullopt;
  if (!queue.fits || queue.wait + demand.longest_service > demand.time_left) {
    return Refusal{RefusalReason::kDeadline, RetryAfter(queue)};
  }
  return std::nullopt;
}

}  // namespace foxquay::scheduling
