#include "foxquay/gateway/drain_plan.h"

#include <algorithm>
#include <chrono>

namespace foxquay::gateway {
namespace internal {

/// Fraction of the grace period (SIGTERM to kill) during which new requests are
/// still accepted: callers cache an entry answer for its time to live, and
/// accepted requests need the rest of the period to finish.
constexpr double kAcceptFraction = 0.35;

/// Fraction of the grace period after which the process ends even if answers
/// have not been written.
constexpr double kEndFraction = 0.95;

/// Time in which final answers reach callers that read them: several round
/// trips, and the intervals at which requests and the drain are reviewed.
constexpr core::Duration kAnswerTime = std::chrono::milliseconds(300);

/// Maximum fraction of the grace period for final answers. Together with the
/// time after kEndFraction it is less than the last sixth of the period, in
/// which upstreams that are still at work may be cut off.
constexpr double kMaxAnswerFraction = 0.1;

}  // namespace internal

core::Instant DrainPlan::accept_until() const {
  return start_ + core::Scale(grace_, internal::kAcceptFraction);
}

core::Instant DrainPlan::answer_by() const {
  return end_by() - std::min(internal::kAnswerTime,
                             core::Scale(grace_, internal::kMaxAnswerFraction));
}

core::Instant DrainPlan::end_by() const {
  return start_ + core::Scale(grace_, internal::kEndFraction);
}

bool DrainPlan::HasTime(const OpenRequest& request, core::Instant now) const {
  if (request.deadline <= answer_by()) return true;
  return now + request.usual_time.value_or(core::Duration::zero()) <
         answer_by();
}

bool DrainPlan::Takes(const OpenRequest& request, core::Instant now) const {
  return now < accept_until() && HasTime(request, now);
}

bool DrainPlan::Ends(const OpenRequest& request, core::Instant now) const {
  if (now >= answer_by()) return true;
  return !request.started && !HasTime(request, now);
}

}  // namespace foxquay::gateway
