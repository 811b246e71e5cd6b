#ifndef FOXQUAY_RELAY_RELAY_H_
#define FOXQUAY_RELAY_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/quarantine/gate.h"
#include "foxquay/quarantine/recorder.h"
#include "foxquay/relay/decision.h"
#include "foxquay/relay/hedge_policy.h"
#include "foxquay/relay/overload_control.h"
#include "foxquay/relay/partners.h"
#include "foxquay/relay/reachability.h"
#include "foxquay/relay/retry_budget.h"
#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {

/// Maximum number of requests that one host keeps waiting; further ones are
/// refused at once.
inline constexpr std::size_t kMaxHeld = 48;

/// Decides for each request of one host where it is sent and whether it is
/// retried, held or refused.
///
/// A request that may run at most once is retried only if nothing of it was
/// sent or the upstream states that it did not run. Not thread-safe; performs
/// no I/O.
class Relay {
 public:
  /// `seed` initializes the random jitter of retry times.
  Relay(const BudgetOptions& budget, std::uint64_t seed);

  [[nodiscard]] Upstreams& upstreams() noexcept { return upstreams_; }
  /// Replaces the upstreams in use.
  void SetUpstreams(const std::vector<schema::Announcement>& announcements,
                    core::Instant now);
  /// Sets whether the upstreams may have changed in a way that has to be heeded
  /// by now, e.g. leave. While it is set, requests go to other hosts or wait.
  void SetOutdated(bool outdated) noexcept { outdated_ = outdated; }
  /// Returns the hosts to which requests are passed that this host can send to
  /// no upstream.
  [[nodiscard]] Partners& partners() noexcept { return partners_; }
  /// Returns whether there are such hosts.
  [[nodiscard]] bool HasPartners() const noexcept { return !partners_.empty(); }
  /// Records the result of an inquiry, or another attempt to connect.
  void RecordInquiry(const core::UpstreamId& upstream, bool reached,
                     core::Instant now);
  /// Records that the current send of a request has been silent for long.
  /// Precondition: the request is known.
  void RecordSilence(core::RequestId id, core::Instant now);
  /// Returns the upstreams that are to be inquired on new connections now; the
  /// results go to RecordInquiry.
  [[nodiscard]] std::vector<Hop> DueInquiries(core::Instant now);
  /// Returns the changes of whether services are reached since the last call.
  [[nodiscard]] std::vector<PathChange> TakePathChanges();
  /// Returns whether this host reaches no upstream of any service.
  [[nodiscard]] bool CutOff() const { return reachability_.CutOffFromAll(); }
  /// Returns whether this host reaches no upstream of a service.
  [[nodiscard]] bool CutOff(const core::ServiceId& service) const {
    return reachability_.CutOff(service);
  }
  /// Returns whether a former send of a request may have run it. Precondition:
  /// the request is known.
  [[nodiscard]] bool MayHaveRun(core::RequestId id) const {
    return requests_.at(id).may_have_run;
  }
  /// Returns whether an upstream may run a request or has run it. Precondition:
  /// the request is known.
  [[nodiscard]] bool Started(core::RequestId id) const;
  /// Ends a request that is not answered completely before this host stops:
  /// aborts an answer that has begun, else refuses it with 502 if it may have
  /// run and with 503 if not. Precondition: the request is known.
  [[nodiscard]] Decision EndForShutdown(core::RequestId id,
                                        core::Duration retry_after,
                                        core::Instant now);
  /// Returns whether a request may run more than once. Precondition: the
  /// request is known.
  [[nodiscard]] bool MayRepeat(core::RequestId id) const {
    return Repeatable(*requests_.at(id).context.route);
  }
  /// Returns whether the current send of a request goes to another host.
  /// Precondition: the request is known.
  [[nodiscard]] bool ViaPartner(core::RequestId id) const;
  /// Sets the use of a model's upstreams at which new requests begin to be
  /// refused; 0, as at first, refuses none.
  void SetOverloadBegin(double use) noexcept { overload_.SetBegin(use); }
  /// Returns the changes of whether new requests to models are refused since
  /// the last call.
  [[nodiscard]] std::vector<OverloadChange> TakeOverloadChanges() {
    return overload_.TakeChanges();
  }
  /// Reduces the retry budget after the start of the process, see RetryBudget.
  void Start(core::Instant now) { budget_.Start(now); }
  /// Sets the number of hosts that serve callers; 0 counts as 1.
  void SetHosts(std::size_t hosts, core::Instant now);

  /// Sets the number of requests that all hosts have sent and that have not
  /// ended, this host's included.
  void SetOpenRequests(std::uint64_t open) {
    upstreams_.SetOpenRequests(static_cast<double>(open));
  }

  /// Replaces the quarantines in force; requests that they cover and whose
  /// answer has not begun are refused at the next review. `self` and
  /// `incarnation` are those of this process.
  void SetQuarantines(schema::QuarantineTable table, const core::HostId& self,
                      std::uint64_t incarnation);
  /// Returns what this host knows about the parts of prompts.
  [[nodiscard]] quarantine::Recorder& recorder() noexcept { return recorder_; }
  /// Returns the crash of an upstream that a lost send may be a sign of, to be
  /// recorded if the upstream can no longer be reached. Precondition: the
  /// request is known and its loss has not been handled.
  [[nodiscard]] std::optional<Suspicion> SuspectCrash(core::RequestId id,
                                                      const Loss& loss) const;
  /// Records that the upstream of a lost send was found to have crashed. The
  /// request may have ended meanwhile.
  void RecordCrash(core::RequestId id, const Suspicion& suspicion,
                   core::Instant now);
  /// Returns whether a request whose send was lost is sent again before it is
  /// known whether its upstream has crashed: a stream that has begun, unless
  /// it has crashed several before. Precondition: the request is known.
  [[nodiscard]] bool ResumesUnchecked(core::RequestId id) const;

  /// Returns the retry budget of this host.
  [[nodiscard]] RetryBudget& budget() noexcept { return budget_; }

  /// Decides on a new request. Precondition: the id is new.
  [[nodiscard]] Decision Arrive(core::RequestId id, RequestContext context,
                                core::Instant now);
  /// Records that the first part of the answer, or of its continuation by a
  /// further send, was passed on to the caller.
  void BeginAnswer(core::RequestId id, core::Instant now);
  /// Records what an upstream has asked for in the head of an answer: that it
  /// leaves, or a pause. Returns whether that is new.
  bool RecordWish(const core::UpstreamId& upstream, bool leaving,
                  std::optional<core::Duration> hold_off, core::Instant now);
  /// Returns whether a request has begun to wait for a leave since the last
  /// call; the report should then reach the control host at once.
  [[nodiscard]] bool TakeLeaveWanted() {
    return std::exchange(leave_wanted_, false);
  }
  /// Returns the limits that upstreams have stated, and the requests that this
  /// host could send to these upstreams.
  [[nodiscard]] schema::LimitReport ReportLimits(core::Instant now);
  /// Records the time between two events of the request's stream, or to its
  /// answer. Precondition: the request is known.
  void RecordLatency(core::RequestId id, core::Duration time,
                     core::Instant now);
  /// Decides what follows the loss of the request's current send. After Refuse
  /// and Abort the request has ended. Precondition: the request is known.
  [[nodiscard]] Decision HandleLoss(core::RequestId id, const Loss& loss,
                                    core::Instant now);
  /// Moves a stream whose current send stalls to another path, if there is one
  /// and the retry budget allows it. If not, the stream keeps waiting on its
  /// path: silence does not prove a loss, and waiting is better than aborting.
  /// Precondition: the request is known.
  [[nodiscard]] std::optional<Send> Move(core::RequestId id, core::Instant now);

  /// Sets the limit on second sends.
  void SetHedging(const HedgeOptions& options) {
    hedge_policy_.SetOptions(options);
  }
  /// Returns the second sends that are due, which are under way from now on,
  /// and for each other request that has waited for its delay, once, why it
  /// gets none. To be called as often as Review.
  [[nodiscard]] std::vector<std::pair<core::RequestId, HedgeDecision>>
  DueHedges(core::Instant now);
  /// Records that the current send of a request needs no second one: its answer
  /// has begun to arrive, or it was lost. Precondition: the request is known.
  void CloseHedging(core::RequestId id);
  /// Returns the path of the second send of a request. Precondition: it is
  /// under way.
  [[nodiscard]] const std::vector<Hop>& HedgePath(core::RequestId id) const;
  /// Records that the second send of a request is answered: it becomes the only
  /// one. Precondition: it is under way.
  void WinHedge(core::RequestId id, core::Instant now);
  /// Records that the second send of a request was cancelled, as the first one
  /// is answered. Precondition: it is under way.
  void DropHedge(core::RequestId id, core::Instant now);
  /// Records the loss of one of the two sends of a request; the other becomes
  /// the only one. Returns the crash of an upstream that the loss may be a sign
  /// of, see SuspectCrash. Precondition: the second send is under way.
  [[nodiscard]] std::optional<Suspicion> LoseCopy(core::RequestId id, Copy lost,
                                                  const Loss& loss,
                                                  core::Instant now);
  /// Ends a request that was answered completely; no effect if unknown.
  void Complete(core::RequestId id, core::Instant now);
  /// Ends a request whose caller has disconnected; no effect if unknown.
  void Abandon(core::RequestId id);

  /// Returns the decisions that are due for held requests, by priority and then
  /// by arrival, and for requests past their deadline.
  [[nodiscard]] std::vector<std::pair<core::RequestId, Decision>> Review(
      core::Instant now);

  /// Returns the path of the current send; empty if the request is held.
  /// Precondition: the request is known.
  [[nodiscard]] const std::vector<Hop>& Path(core::RequestId id) const;
  /// Precondition: the request is known.
  [[nodiscard]] const RequestContext& Context(core::RequestId id) const;
  [[nodiscard]] bool Contains(core::RequestId id) const {
    return requests_.contains(id);
  }
  /// Returns the number of requests that have not ended.
  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }
  /// Returns the number of requests that have been sent and have not ended.
  [[nodiscard]] std::size_t sent() const noexcept {
    return requests_.size() - held_;
  }
  /// Returns the number of requests that are held.
  [[nodiscard]] std::size_t held() const noexcept { return held_; }

 private:
  /// A send beside the current one of the same request.
  struct Hedge {
    std::vector<Hop> hops;
    core::Instant sent;
  };
  struct Hedging {
    core::Instant sent;  ///< Start of the current send.
    std::optional<Hedge> hedge;
    bool used = false;        ///< The request has had a second send.
    bool closed = false;      ///< See CloseHedging.
    bool denied = false;      ///< A denial was returned.
    bool kept_hedge = false;  ///< The current send is the second one.
  };
  /// The delays of a review, by route and upstream.
  using HedgeDelays =
      std::map<std::pair<const schema::Route*, core::UpstreamId>,
               std::optional<core::Duration>>;

  struct State {
    RequestContext context;
    std::vector<Hop> hops;
    std::vector<core::UpstreamId> attempted;  ///< First hops that it reached.
    std::optional<core::UpstreamId> failed;  ///< The last of them if it failed.
    unsigned sends = 0;      ///< Sends that reached an upstream.
    unsigned unsent = 0;     ///< Sends that reached none.
    unsigned fruitless = 0;  ///< Sends since the last part of the answer.
    unsigned crashes = 0;    ///< Sends whose upstream crashed.
    /// When a stream that has begun may be sent again.
    core::Instant next_send;
    bool may_have_run = false;  ///< An upstream may have run it.
    bool answer_begun = false;  ///< The caller has received a part.
    bool held = false;          ///< It waits for a path or a retry.
    /// Whether it was checked that upstreams accept requests while it is held.
    bool acceptance_checked = false;
    bool awaits_budget = false;   ///< Its next send needs a retry.
    core::Instant hold_deadline;  ///< When a held request is given up.
    /// When it began to wait for leave to use limited upstreams.
    std::optional<core::Instant> leave_asked_at;
    bool probe = false;                   ///< Sent in spite of a quarantine.
    std::optional<core::HostId> partner;  ///< That has its current send.
    std::vector<core::HostId> partners_tried;
    Hedging hedging;
  };

  /// Sends the request along a path, or holds it or gives it up if there is
  /// none.
  Decision Route(core::RequestId id, State& state, core::Instant now);
  /// Returns whether this host has no path to the upstreams of the request's
  /// service, which other hosts may have.
  [[nodiscard]] bool LacksPath(const State& state, core::Instant now) const;
  /// Passes the request to another host, lets it wait or gives it up if what
  /// this host knows may be outdated.
  std::optional<Decision> AvoidOutdated(core::RequestId id, State& state,
                                        core::Instant now);
  /// Passes the request to another host; nothing if there is none, or if it has
  /// come from one.
  std::optional<Send> PassToPartner(State& state, core::Instant now);
  /// Decides what follows the loss of a request that another host had.
  Decision HandlePartnerLoss(core::RequestId id, const Loss& loss,
                             core::Instant now);
  /// Returns the refusal of a request whose prompt is in quarantine, unless it
  /// is sent as a probe.
  std::optional<Decision> RefuseQuarantined(core::RequestId id, State& state,
                                            core::Instant now);
  /// Adds the refusal of each request that has been sent, has not begun to be
  /// answered and is covered by a quarantine.
  void RefuseSent(std::vector<std::pair<core::RequestId, Decision>>& decisions,
                  core::Instant now);
  /// Returns the refusal of a new request while the upstreams of its model hold
  /// nearly as many as they can.
  std::optional<Decision> RefuseOverload(core::RequestId id, State& state,
                                         core::Instant now);
  /// Returns whether the request is to wait until the control host has answered
  /// whether it may use limited upstreams.
  [[nodiscard]] bool AwaitsLeave(State& state, core::Instant now);
  /// Lets the request wait.
  void BeginHold(State& state, core::Instant now);
  /// Keeps the request waiting for `reason`, or gives it up if it has waited
  /// for too long. A retry is worth a wait: the control host that this host
  /// follows grants more within the interval of its polls.
  Decision HoldOrGiveUp(core::RequestId id, State& state,
                        const std::string& reason, core::Instant now);
  /// Returns whether a second send is possible for such a request at all.
  [[nodiscard]] static bool MayHedge(const State& state);
  /// Returns whether an upstream has the request and its answer has not begun.
  [[nodiscard]] static bool AwaitsAnswer(const State& state);
  /// Decides on the second send of a request; nothing before its delay.
  /// `waiting` tells whether requests of its service wait for a path.
  std::optional<HedgeDecision> DecideHedge(State& state, bool waiting,
                                           HedgeDelays& delays,
                                           core::Instant now);
  /// Replaces the current send by the second one.
  static void KeepHedge(State& state);
  /// Returns whether a request of the route may run more than once.
  [[nodiscard]] static bool Repeatable(const schema::Route& route);
  /// Returns whether the caller has a part of a stream that a further send
  /// continues. Such a request is sent again, or waits, until its deadline.
  [[nodiscard]] static bool Resumes(const State& state);
  /// Lets a stream that has begun pause before its next send if several have
  /// brought no event.
  void DelayResume(State& state, core::Instant now);
  /// Lets a stream that has begun pause before its next send, which may go to
  /// hosts that could not serve it before.
  void PauseResume(State& state, core::Instant now);
  /// Returns the time after which a caller that is refused for want of a place
  /// finds one.
  [[nodiscard]] core::Duration ReturnTime(const core::ServiceId& service,
                                          core::Instant now) const;
  /// Ends the request: aborts an answer that has begun, else refuses it with
  /// 502 if it may have run and with 503 if not.
  Decision GiveUp(core::RequestId id, const std::string& reason,
                  std::optional<core::Duration> retry_after, core::Instant now);
  /// Records a lost send of the request along `hops`.
  void RecordLoss(State& state, const std::vector<Hop>& hops, const Loss& loss,
                  core::Instant now);
  /// Records a loss with the upstreams that may have caused it.
  void AttributeLoss(LossKind kind,
                     const std::optional<core::UpstreamId>& fault,
                     const std::vector<Hop>& hops, core::Instant now);
  /// Returns the hop of a lost send that may have crashed: the one at fault, or
  /// else the first one. Precondition: the request has been sent.
  [[nodiscard]] static const Hop& SuspectedHop(const State& state,
                                               const Loss& loss);
  /// Returns whether a request that has crashed its upstream may crash others.
  [[nodiscard]] bool MayCrashOthers(const State& state,
                                    core::Instant now) const;
  /// Returns whether the route and the kind of loss allow another send.
  [[nodiscard]] bool MayRetry(const State& state, const Loss& loss,
                              core::Instant now) const;
  /// Records that a send reached `first`. A hop after the first that is at
  /// fault leaves the first one usable.
  static void RecordAttempt(State& state, LossKind kind,
                            const core::UpstreamId& first,
                            const std::optional<core::UpstreamId>& fault);
  /// Returns the first hops of the next send: not the one that failed last, and
  /// once the attempts of the route are used up only those already reached,
  /// including the one that failed if there is no other.
  [[nodiscard]] FirstHops AllowedFirstHops(const State& state) const;
  /// Removes the request from the load of its hops.
  void Release(State& state);
  void End(core::RequestId id);
  /// Returns the duration scaled by a random factor from 0.75 to 1.25, so that
  /// refused callers do not return at the same time.
  [[nodiscard]] core::Duration AddJitter(core::Duration duration);

  Upstreams upstreams_;
  Reachability reachability_;
  Partners partners_;
  std::vector<PathChange> path_changes_;
  quarantine::Gate gate_;
  quarantine::Recorder recorder_;
  bool quarantines_changed_ = false;
  bool leave_wanted_ = false;
  bool outdated_ = false;  ///< See SetOutdated.
  RetryBudget budget_;
  OverloadControl overload_;
  HedgePolicy hedge_policy_;
  std::size_t hosts_ = 1;  ///< That serve callers.
  std::mt19937_64 random_;
  std::map<core::RequestId, State> requests_;
  std::size_t held_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RELAY_H_
