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

/// State and decisions of an Engine.
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
  /// What a waiting request can start on now.
  using AnyPlan = std::variant<routing::Plan, routing::ServicePlan>;
  using PlanResult =
      std::variant<routing::Plan, routing::ServicePlan, routing::NoPlan>;

  // requests.cc: arrival, claims, end.
  void On(const Arrived& event, core::Instant now);
  void On(const ClaimDecided& event, core::Instant now);
  void On(const CallerGone& event, core::Instant now);
  [[nodiscard]] std::optional<Refusal> CheckTokenLimit(
      const Submission& submission) const;
  [[nodiscard]] stream::Terms TermsOf(const Submission& submission,
                                      core::Instant now) const;
  void Grant(Request& request, core::Instant now);
  void OnTimer(Request& request, core::Instant now);
  /// Ends a request whose answer is not whole.
  void Abort(Request& request, std::string reason,
             std::optional<core::Duration> retry_after, core::Instant now);
  void Abort(Request& request, const routing::NoPlan& no_plan,
             core::Instant now);
  /// Ends a request; `end` names it.
  void FinishRequest(Request& request, Finish finish, core::Instant now);
  void SettleClaim(Request& request, const Finish& finish);
  void RefuseSubmission(const Submission& submission, const Refusal& refusal);

  // legs.cc: start, tokens, end of legs and calls.
  void On(const LegToken& event, core::Instant now);
  void On(const LegEnded& event, core::Instant now);
  void On(const ServiceAnswered& event, core::Instant now);
  void On(const ServiceFailed& event, core::Instant now);
  void Start(Request& request, const routing::Plan& plan, core::Instant now);
  void Start(Request& request, const routing::ServicePlan& plan,
             core::Instant now);
  /// Lets routing learn from the time of some tokens of a leg.
  void SampleSpeed(Leg& leg, core::Instant now);
  /// Ends the running leg of a request that has been silent.
  void FailSilentLeg(Request& request, core::Instant now);
  /// Frees the upstreams of a leg and returns it, if it is known.
  std::optional<Leg> ReleaseLeg(core::LegId leg);
  void ApplyNext(Request& request, stream::Next next, core::Instant now);
  void RecordFailure(Request* request, const Leg& leg,
                     const std::optional<core::UpstreamId>& culprit,
                     core::Instant now);
  void FinishCompletion(Request& request, core::Instant now);
  void ReportCompletedLeg(const Request& request, const Leg& leg, LegEnd end,
                          core::Instant now);
  /// Passes the time of a token of a leg to the limits.
  void ObserveToken(Leg& leg, const Request& request, core::Instant now);

  // plans.cc: what a waiting request can start on.
  [[nodiscard]] PlanResult FindPlan(const Request& request, core::Instant now);
  [[nodiscard]] PlanResult FindChain(const Request& request,
                                     const Completion& completion,
                                     core::Instant now);
  void Enqueue(Request& request, bool resumed, core::Instant now);
  [[nodiscard]] QueueEntry MakeQueueEntry(const Request& request) const;
  /// Starts what can start and gives up what has no chain.
  void ProcessQueue(core::Instant now);

  // engine.cc
  void On(const UpstreamsChanged& event, core::Instant now);
  void On(const PolicyChanged& event, core::Instant now);
  void On(const AdmissionChanged& event, core::Instant now);
  void On(const Tick& event, core::Instant now);
  void ArmTimer(Request& request);
  void FireTimers(core::Instant now);
  void CloseExpiredAdmission(core::Instant now);
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
  std::optional<core::Instant> admission_until_;
  std::string closed_reason_;
  bool queue_pass_needed_ = false;
  /// Keys of requests that ended before their claim was decided, by age.
  std::deque<std::pair<core::RequestId, std::string>> undecided_claims_;
  using Timer = std::pair<core::Instant, core::RequestId>;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::vector<Action> actions_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_STATE_H_
