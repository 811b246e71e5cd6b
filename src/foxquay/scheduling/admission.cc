#include "foxquay/scheduling/admission.h"

#include <algorithm>
#include <chrono>

namespace foxquay::scheduling {
namespace {

// A caller that comes back sooner finds the same queue.
constexpr core::Duration kMinRetry = std::chrono::milliseconds(100);
// Part of the retry time over which repeats are spread.
constexpr double kSpread = 0.5;

core::Duration Scale(core::Duration duration, double factor) noexcept {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(duration) * factor);
}

}  // namespace

core::Duration Admission::RetryAfter(const QueueState& queue) {
  const core::Duration base = std::max(kMinRetry, queue.drain);
  std::uniform_real_distribution<double> spread(0, kSpread);
  return base + Scale(base, spread(random_));
}

std::optional<Refusal> Admission::Check(const Demand& demand,
                                        const QueueState& queue) {
  if (queue.waiting >= queue.capacity) {
    return Refusal{RefusalReason::kQueueFull, RetryAfter(queue)};
  }
  // An idle pool takes any request: an estimate that is too high would
  // otherwise refuse all work and never be corrected.
  if (queue.waiting == 0 && queue.running == 0) return std::nullopt;
  if (demand.service > demand.time_left) {
    return Refusal{RefusalReason::kServiceTime, RetryAfter(queue)};
  }
  // While no leg waits there is room, whatever is owed to running requests.
  if (queue.waiting == 0) return std::nullopt;
  if (!queue.fits || queue.wait + demand.longest > demand.time_left) {
    return Refusal{RefusalReason::kDeadline, RetryAfter(queue)};
  }
  return std::nullopt;
}

}  // namespace foxquay::scheduling
