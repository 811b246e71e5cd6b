#ifndef FOXQUAY_DISPATCH_STATE_H_
#define FOXQUAY_DISPATCH_STATE_H_

#include <deque>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/dispatch/engine.h"
#include "foxquay/dispatch/limits.h"
#include "foxquay/dispatch/policy.h"
#include "foxquay/dispatch/queue.h"
#include "foxquay/dispatch/request.h"
#include "foxquay/routing/router.h"

namespace foxquay::dispatch {

/// Implementation of Engine. The handlers of events append to `actions_`.
class Engine::State {
 public:
  explicit State(EngineOptions options);

  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           core::Instant now);
  [[nodiscard]] std::optional<core::Instant> NextDeadline() const;
  [[nodiscard]] std::size_t OpenRequests() const noexcept {
    return requests_.size();
  }
  [[nodiscard]] double FreeCapacity() const noexcept {
    return Limits::FreeShare(router_.upstreams());
  }

 private:
  using Requests = std::unordered_map<core::RequestId, Request>;
  /// Chain or upstream on which a waiting request can start now.
  using AnyPlan = std::variant<routing::Plan, routing::ServicePlan>;
  /// Chain or upstream on which a waiting request can start now, or the reason
  /// why there is none.
  using PlanResult =
      std::variant<routing::Plan, routing::ServicePlan, routing::NoPlan>;

  // requests.cc: arrival, claims and end of requests.
  void On(const Arrived& event, core::Instant now);
  void On(const ClaimDecided& event, core::Instant now);
  void On(const CallerGone& event, core::Instant now);
  /// Returns a refusal if a completion asks for more tokens than the policy
  /// allows, or nothing.
  [[nodiscard]] std::optional<Refusal> CheckTokenLimit(
      const Submission& submission) const;
  /// Returns the terms of a request that arrives at `now`.
  [[nodiscard]] stream::Terms TermsOf(const Submission& submission,
                                      core::Instant now) const;
  /// Marks the claim of a request as held and queues the request.
  void Grant(Request& request, core::Instant now);
  /// Applies whichever time-out of a request has passed, if any: deadline,
  /// undecided claim, latest start or silence of its leg.
  void OnTimer(Request& request, core::Instant now);
  /// Ends a request without its whole answer and cancels its running leg or
  /// call. `reason` is the error message for the caller.
  void Abort(Request& request, std::string reason,
             std::optional<core::Duration> retry_after, core::Instant now);
  void Abort(Request& request, const routing::NoPlan& no_plan,
             core::Instant now);
  /// Ends a request: settles its claim, forgets it and reports `finish`.
  ///
  /// Precondition: `finish.request` is the id of `request`. `request` is
  /// destroyed.
  void FinishRequest(Request& request, Finish finish, core::Instant now);
  /// Releases the claim of a request that ends, or records its outcome if
  /// anything was dispatched.
  void SettleClaim(Request& request, const Finish& finish);
  /// Reports that a submission was not accepted. No Request exists for it.
  void RefuseSubmission(const Submission& submission, const Refusal& refusal);

  // legs.cc: start, tokens and end of legs and service calls.
  void On(const LegToken& event, core::Instant now);
  void On(const LegEnded& event, core::Instant now);
  void On(const ServiceAnswered& event, core::Instant now);
  void On(const ServiceFailed& event, core::Instant now);
  /// Starts the next leg of a completion on the planned chain.
  void Start(Request& request, const routing::Plan& plan, core::Instant now);
  /// Starts a service call on the planned upstream.
  void Start(Request& request, const routing::ServicePlan& plan,
             core::Instant now);
  /// Updates the speed estimates of a leg's upstreams once enough tokens have
  /// arrived since the last sample.
  void SampleSpeed(Leg& leg, core::Instant now);
  /// Cancels the running leg of a request, which has produced no token for the
  /// token time-out, and treats it as failed.
  void FailSilentLeg(Request& request, core::Instant now);
  /// Removes a leg and ends its work on its upstreams; returns nothing if the
  /// leg is not known.
  std::optional<Leg> ReleaseLeg(core::LegId leg);
  /// Carries out what the stream of a request needs next: a further leg, a
  /// retry within the retry budget, or the end of the request.
  void ApplyNext(Request& request, stream::Next next, core::Instant now);
  /// Records a failed leg or call with its upstreams. A known culprit is
  /// avoided and its limit reduced; without one, all stages become suspects.
  /// `request` is null if the leg is no longer the request's current one.
  void RecordFailure(Request* request, const Leg& leg,
                     const std::optional<core::UpstreamId>& culprit,
                     core::Instant now);
  /// Ends a completion whose whole answer was delivered.
  void FinishCompletion(Request& request, core::Instant now);
  /// Tells the queue that a leg or call of a request no longer runs.
  void ReportCompletedLeg(const Request& request, const Leg& leg, LegEnd end,
                          core::Instant now);
  /// Passes the latency of a token to the in-flight limits and the speed
  /// estimates of a leg's upstreams.
  void ObserveToken(Leg& leg, const Request& request, core::Instant now);

  // plans.cc: queueing, and the choice of chains and upstreams.
  [[nodiscard]] PlanResult FindPlan(const Request& request, core::Instant now);
  [[nodiscard]] PlanResult FindChain(const Request& request,
                                     const Completion& completion,
                                     core::Instant now);
  /// Queues a request for its next leg or call; `resumed` tells whether the
  /// last one failed.
  void Enqueue(Request& request, bool resumed, core::Instant now);
  [[nodiscard]] QueueEntry MakeQueueEntry(const Request& request) const;
  /// Starts the queued requests that can start and ends those for which no
  /// chain or upstream exists.
  void ProcessQueue(core::Instant now);

  // engine.cc: configuration, admission and timers.
  void On(const UpstreamsChanged& event, core::Instant now);
  void On(const PolicyChanged& event, core::Instant now);
  void On(const AdmissionChanged& event, core::Instant now);
  void On(const Tick& event, core::Instant now);
  /// Sets the timer of a request to its next time-out, unless an earlier timer
  /// is set.
  void ArmTimer(Request& request);
  /// Runs the timers that are due.
  void FireTimers(core::Instant now);
  /// Closes admission if its end time has been reached.
  void CloseExpiredAdmission(core::Instant now);
  /// Returns an unfinished request, or null.
  [[nodiscard]] Request* FindRequest(core::RequestId id);
  [[nodiscard]] PolicyScope ScopeOf(const Submission& submission) const;

  EngineOptions options_;
  Policy policy_;
  Limits limits_;
  Queue queue_;
  routing::Router router_;
  Requests requests_;
  std::unordered_map<core::LegId, Leg> legs_;
  std::uint64_t next_leg_ = 1;
  bool admission_open_ = true;
  /// When open admission closes without a further event; see AdmissionChanged.
  std::optional<core::Instant> admission_until_;
  std::string closed_reason_;
  /// Whether a queued request may have become able to start.
  bool queue_pass_needed_ = false;
  /// Idempotency keys of requests that ended before their claim was decided,
  /// oldest first.
  std::deque<std::pair<core::RequestId, std::string>> undecided_claims_;
  /// Due time and request; stale unless Request::timer_due equals the time.
  using Timer = std::pair<core::Instant, core::RequestId>;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  /// Actions of the current Handle call.
  std::vector<Action> actions_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_STATE_H_
