#ifndef FOXQUAY_GATEWAY_DRAIN_PLAN_H_
#define FOXQUAY_GATEWAY_DRAIN_PLAN_H_

#include <optional>

#include "foxquay/core/time.h"

namespace foxquay::gateway {

/// What the end of an open request depends on.
struct OpenRequest {
  bool started = false;    ///< An upstream may run it, or has run it.
  core::Instant deadline;  ///< Earlier of the caller's and the route's limit.
  /// Time that requests of its route usually take; nothing if it is not known.
  std::optional<core::Duration> usual_time;
};

/// Times of a graceful shutdown, and what becomes of requests in it. The answer
/// of a request passes through this host even if another host has it, so no
/// request outlasts the grace period.
///
/// Immutable; performs no I/O.
class DrainPlan {
 public:
  /// `grace` is the time from the signal at `start` until the process is
  /// killed.
  DrainPlan(core::Instant start, core::Duration grace)
      : start_(start), grace_(grace) {}

  /// Returns the time from which all new requests are refused.
  [[nodiscard]] core::Instant accept_until() const;
  /// Returns the time at which every open request is given its final answer.
  [[nodiscard]] core::Instant answer_by() const;
  /// Returns the time at which the process ends, written answers or not.
  [[nodiscard]] core::Instant end_by() const;

  /// Returns whether a new request is taken. One that would be given up at
  /// answer_by is refused instead, so that the caller sends it to another host.
  [[nodiscard]] bool Takes(const OpenRequest& request, core::Instant now) const;
  /// Returns whether an open request is ended now, with what is known of it.
  [[nodiscard]] bool Ends(const OpenRequest& request, core::Instant now) const;

 private:
  /// Returns whether a request that is sent now usually has its answer in time.
  [[nodiscard]] bool HasTime(const OpenRequest& request,
                             core::Instant now) const;

  core::Instant start_;
  core::Duration grace_;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_DRAIN_PLAN_H_
