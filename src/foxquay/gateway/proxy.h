#ifndef FOXQUAY_GATEWAY_PROXY_H_
#define FOXQUAY_GATEWAY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/fleet/table.h"
#include "foxquay/gateway/answer_times.h"
#include "foxquay/gateway/drain_plan.h"
#include "foxquay/gateway/prober.h"
#include "foxquay/gateway/protocol.h"
#include "foxquay/gateway/verdict.h"
#include "foxquay/metrics/registry.h"
#include "foxquay/net/client.h"
#include "foxquay/net/server.h"
#include "foxquay/relay/events.h"
#include "foxquay/relay/relay.h"

namespace foxquay::gateway {

/// Interval at which Proxy::Review must be called.
inline constexpr core::Duration kReviewInterval = std::chrono::milliseconds(25);

/// As kReviewInterval while no request waits; a fraction of the silence after
/// which a stream counts as stalled.
inline constexpr core::Duration kIdleReviewInterval =
    std::chrono::milliseconds(50);

/// Field of requests that are passed to another host: how often they have been
/// sent to upstreams before.
inline constexpr const char* kPriorSendsField = "Foxquay-Prior-Sends";

/// Retry-After while this host stops or is cut off, as another host can serve
/// at once.
inline constexpr core::Duration kOtherHostRetryAfter =
    std::chrono::milliseconds(50);

/// Leave to use the configuration. All times are of net::LeaseNow.
struct Lease {
  core::Instant confirmed;  ///< When it was last known to be current.
  /// Until when it contains every change that has to be in force. Later it
  /// denies no request: the route or key that it lacks may have been added.
  core::Instant current_until;
  /// Until when the configuration and the upstreams contain every change that
  /// can have been acknowledged and has to be in force. Later, requests go to
  /// other hosts, or wait for a confirmation.
  core::Instant usable_until;
  core::Instant until;  ///< When requests may no longer be admitted.
};

/// Reverse proxy: forwards callers' requests to upstreams and the responses
/// back. A Relay decides where a request is sent and whether it is retried,
/// held or refused.
///
/// Not thread-safe: runs on the thread of the io_context.
class Proxy {
 public:
  /// Receives upstreams that are suspected to have failed: those on the path of
  /// a silent stream, or one that could not be connected to.
  /// Called when a request waits for leave to use limited upstreams.
  using LeaveHandler = std::function<void()>;
  using SuspectHandler = std::function<void(std::vector<core::UpstreamId>)>;

  /// `seed` initializes the random choices; `registry` outlives the proxy.
  Proxy(boost::asio::io_context& context, const Protocol& protocol,
        const relay::BudgetOptions& budget, metrics::Registry& registry,
        std::uint64_t seed, SuspectHandler on_suspects);

  /// Binds `IP:PORT` and starts to accept callers' connections; see
  /// net::Server::Listen.
  [[nodiscard]] std::error_code Listen(const std::string& address);
  /// Binds `IP:PORT` for requests that other hosts pass to this one.
  /// Precondition: Listen succeeded.
  [[nodiscard]] std::error_code ListenForPartners(const std::string& address);
  /// Returns `IP:PORT` of that listener. Precondition: ListenForPartners
  /// succeeded.
  [[nodiscard]] std::string partner_address() const;
  /// Counts what the connections of callers use in a budget. Preconditions:
  /// `budget` outlives the proxy, and no listener was bound.
  void SetBufferBudget(net::BufferBudget& budget) { server_.SetBudget(budget); }

  /// Returns `IP:PORT` of the listener. Precondition: Listen succeeded.
  [[nodiscard]] std::string address() const { return server_.address(); }

  /// Replaces the fleet configuration. Precondition: its version is higher than
  /// the current one.
  void SetFleet(std::shared_ptr<const fleet::Table> table);
  /// Replaces the upstreams in use.
  void SetUpstreams(const std::vector<schema::Announcement>& upstreams);
  /// Sets the lease under which requests are admitted; not set if there is
  /// none.
  void SetLease(std::optional<Lease> lease);
  /// Replaces the other hosts that take requests of this one; `self` is this
  /// host.
  void SetPartners(const core::HostId& self,
                   std::vector<relay::Partner> partners);
  /// Sets the number of hosts that serve callers; 0 counts as 1.
  void SetHosts(std::size_t hosts);
  /// Sets the number of requests that have not ended at any host, this one
  /// included.
  void SetOpenRequests(std::uint64_t open) { relay_.SetOpenRequests(open); }
  /// Returns the relay, for settings and figures of its own.
  [[nodiscard]] relay::Relay& relay() noexcept { return relay_; }

  /// Replaces the quarantines in force; see relay::Relay::SetQuarantines.
  void SetQuarantines(schema::QuarantineTable table, const core::HostId& self,
                      std::uint64_t incarnation);

  /// Sets the function that asks the control host for leaves.
  void SetLeaveHandler(LeaveHandler handler) {
    on_leave_wanted_ = std::move(handler);
  }
  /// Takes over limits that upstreams have stated and leave to send to them,
  /// which arrived `since` ago.
  void SetLimits(const std::vector<schema::LimitStatement>& statements,
                 const std::vector<schema::LimitLeave>& leaves,
                 core::Duration since);

  /// Stops being ready and sends `Connection: close` with each response from
  /// now on. Review follows the plan, whose times are of net::SteadyNow. May be
  /// called again to replace the plan.
  void StartDrain(const DrainPlan& plan);

  /// Returns whether requests can be admitted and no drain has started.
  [[nodiscard]] bool ready() const;
  /// Returns whether there is a configuration with a valid lease.
  [[nodiscard]] bool can_admit() const;
  /// Returns whether the configuration or the upstreams may lack a change that
  /// has to be in force.
  [[nodiscard]] bool outdated() const;
  /// Returns the time since the configuration was last known to be current;
  /// nothing if it never was.
  [[nodiscard]] std::optional<core::Duration> configuration_age() const;
  /// Returns whether a request waits for a path or for the configuration.
  [[nodiscard]] bool has_waiting() const {
    return relay_.held() > 0 || !pending_.empty();
  }
  /// Returns the number of requests that are being received or answered.
  [[nodiscard]] std::size_t open_requests() const {
    return server_.open_requests();
  }

  /// Handles deadlines, held and waiting requests and stalled streams. Must be
  /// called every kReviewInterval, or every kIdleReviewInterval while no
  /// request waits.
  void Review();

 private:
  /// The loss of a send whose upstream is being probed.
  struct UncheckedLoss {
    relay::Loss loss;
    core::Instant until;  ///< When it is handled without a result.
  };

  /// A second send of a request, beside the current one. What arrives is kept
  /// until the send is the only one left.
  struct Hedge {
    net::CallId call;
    core::Instant sent;
    std::optional<core::Instant> head_at;  ///< When the head arrived.
    unsigned status = 0;                   ///< Of the head.
    net::Fields fields;
    Verdict verdict = Verdict::kNoAnswer;  ///< On the head.
    std::string fault_address;
    std::string body;  ///< At most kMaxBufferedBytes and one piece.
  };

  /// An admitted request.
  struct Job {
    net::ExchangeId exchange;
    net::Request request;
    CallerInfo caller;
    std::string digest;  ///< Equal for repeats of the request by its caller.
    core::WorkspaceId workspace;
    RouteKey route;
    core::Instant arrived;
    std::optional<net::CallId> call;  ///< The current send, if any.
    core::Instant sent;               ///< Start of the current send.
    core::Instant last_event;         ///< Last event, or start of the send.
    core::Duration stall_timeout{};  ///< Silence after which a stream is moved.
    unsigned sends = 0;
    unsigned status = 0;     ///< Of the last response head; 0 before the first.
    bool streaming = false;  ///< The response is a stream of events.
    /// The end of the connection is that of the response.
    bool ends_with_connection = false;
    /// When the head of the current send's response arrived.
    std::optional<core::Instant> head_at;
    bool event_received = false;  ///< The current send has yielded an event.
    bool head_sent = false;       ///< A head was sent to the caller.
    /// A loss that is handled when it is known whether the upstream has
    /// crashed.
    std::optional<UncheckedLoss> unchecked_loss;
    /// Until when the end of an answer that has neither a length nor chunks
    /// waits for the result of a probe.
    std::optional<core::Instant> unchecked_end;
    /// The stream ended between two events at an upstream that had then
    /// crashed.
    bool ended_between_events = false;
    /// A response that is not a stream is passed on as it arrives.
    bool passing_body = false;
    /// On the head of the current send's response.
    Verdict verdict = Verdict::kNoAnswer;
    /// How the connection of the current send failed, if it did.
    std::optional<net::Failure> failure;
    std::string fault_address;
    net::Response response;  ///< Complete, or only the head of a stream.
    std::optional<relay::EventFilter> filter;
    std::optional<Hedge> hedge;
  };

  /// A request that waits until the configuration is confirmed.
  struct PendingRequest {
    net::Request request;
    CallerInfo caller;
    core::Instant until;  ///< When it is rejected.
  };

  /// What the configuration says of a request: a route, or a denial.
  struct Match {
    const schema::Route* route = nullptr;
    core::WorkspaceId workspace;
    std::uint32_t priority = 0;
    unsigned status = 0;    ///< Of the denial; 0 if there is none.
    bool outdated = false;  ///< Only another host may serve the request.
    std::string_view reason;
  };

  void HandleRequest(net::ExchangeId exchange, net::Request&& request);
  /// Finds the route and workspace of a request.
  [[nodiscard]] Match FindMatch(const net::Request& request,
                                const CallerInfo& caller) const;
  /// Returns what the configuration says of a request; nothing while there is
  /// no lease, or while it may be outdated and no other host can serve.
  [[nodiscard]] std::optional<Match> Decide(const net::Request& request,
                                            const CallerInfo& caller) const;
  /// Admits or rejects a request.
  void RouteRequest(net::ExchangeId exchange, net::Request&& request,
                    CallerInfo caller, const Match& match);
  /// Rejects a request that has waited for a confirmed configuration.
  void RejectUnconfirmed(net::ExchangeId exchange, const CallerInfo& caller);
  /// Returns when a request is given up: the earlier of the caller's and the
  /// route's limit.
  [[nodiscard]] static core::Instant Deadline(const schema::Route& route,
                                              const CallerInfo& caller,
                                              core::Instant now);
  /// Returns whether a new request is taken, which may not end before this host
  /// does.
  [[nodiscard]] bool Takes(const schema::Route& route,
                           const CallerInfo& caller) const;
  void RejectForShutdown(net::ExchangeId exchange, const CallerInfo& caller);
  /// Stops accepting, and ends requests that are not answered before this host
  /// stops.
  void ReviewDrain(core::Instant now);
  /// Routes the waiting requests once the configuration is confirmed, and
  /// rejects those that have waited too long.
  void ReviewPending(core::Instant now);
  void HandleCallerDisconnected(net::ExchangeId exchange);
  void HandleHead(net::CallId call, unsigned status, net::Fields&& fields);
  void HandleData(net::CallId call, const std::string& data);
  void HandleEnd(net::CallId call);
  void HandleFailure(net::CallId call, net::Failure failure);

  void Admit(net::ExchangeId exchange, net::Request&& request,
             CallerInfo caller, const Match& match);
  /// Tells the relay whether what this host knows may be outdated, and logs a
  /// change of it.
  void ReviewOutdated();
  void Reject(net::ExchangeId exchange, const CallerInfo& caller,
              unsigned status, std::optional<core::Duration> retry_after,
              std::string_view reason);
  /// Carries out what the relay decides on requests that wait.
  void ReviewHeld(core::Instant now);
  /// Asks the control host for leaves if a request has begun to wait for one.
  void AskForLeave();
  /// Carries out a decision of the relay.
  void Apply(core::RequestId id, const relay::Decision& decision);
  void Execute(core::RequestId id, const relay::Send& send);
  /// Starts the call of a send.
  net::CallId StartCall(core::RequestId id, const relay::Send& send);
  /// Clears what is known of the former send of a request.
  static void ResetSend(Job& job, core::Instant sent);
  void Execute(core::RequestId id, const relay::Hold& hold);
  void Execute(core::RequestId id, const relay::Refuse& refuse);
  void Execute(core::RequestId id, const relay::Abort& abort);
  /// Removes a job, cancels its current send and returns it.
  Job TakeJob(core::RequestId id);
  /// Handles a send that ended without a complete response.
  void HandleLoss(core::RequestId id, const relay::Loss& loss);
  /// Records that an upstream leaves or asks for a pause, and its limit.
  /// `request` is the one that it answered; empty for an inquiry.
  void RecordStatements(const core::UpstreamId& upstream,
                        const ResponseInfo& info, const std::string& request);
  void RecordLimit(const core::UpstreamId& upstream, const ResponseInfo& info,
                   const std::string& request);
  /// Logs and counts a response that is not the upstream's answer.
  void RecordNoAnswer(core::RequestId id, const std::vector<relay::Hop>& path,
                      unsigned status, const ResponseInfo& info);
  /// Buffers data of a response that is not a stream, or passes it on.
  void HandleBody(net::CallId call, const std::string& data);
  /// Ends an answer that is complete: passes it on, or the end of it.
  void FinishAnswer(core::RequestId id);
  /// Breaks an answer off of which parts have been passed on.
  void BreakOff(core::RequestId id);
  /// Ends a response of which parts have been passed on.
  void CompleteAnswer(core::RequestId id);
  /// Cancels a send that cannot be completed, and handles its loss.
  void CancelSend(net::CallId call, const relay::Loss& loss);
  /// Records that the answer to a request begins to be passed on.
  void BeginAnswer(core::RequestId id, core::Instant now);

  /// Sends slow requests a second time, as the relay decides.
  void SendDueHedges(core::Instant now);
  void SendHedge(core::RequestId id, const relay::Send& send);
  /// Returns whether a call is the second send of its request.
  [[nodiscard]] bool IsHedge(net::CallId call) const;
  void HandleHedgeHead(net::CallId call, unsigned status, net::Fields&& fields);
  void HandleHedgeData(net::CallId call, const std::string& data);
  void HandleHedgeEnd(net::CallId call);
  void HandleHedgeFailure(net::CallId call, net::Failure failure);
  /// Lets the second send answer the request and cancels the first one.
  void WinHedge(core::RequestId id);
  /// Cancels the second send, if there is one: the first one is answered.
  void DropHedge(core::RequestId id);
  /// Handles the loss of the second send; its call has ended.
  void LoseHedge(core::RequestId id, const relay::Loss& loss,
                 std::string_view connection);
  /// Handles the loss of the first send while the second one is under way.
  void ContinueWithHedge(core::RequestId id, const relay::Loss& loss);
  /// Makes the second send the current one and handles what has arrived.
  void PromoteHedge(core::RequestId id);
  /// Records what became of a second send: `won` if it was answered first,
  /// `kept` if the first one was lost, `wasted` otherwise.
  void RecordHedgeEnd(const Job& job, std::string_view result,
                      std::string_view reason);

  /// Returns whether the current send's response has not begun, or is a success
  /// that may have more to come.
  [[nodiscard]] static bool Unfinished(const Job& job);
  /// Finds out whether an upstream that lost a request has crashed, records it,
  /// and then handles the loss if the request still waits. `sends` is the
  /// number of the lost send if its loss waits for the result, else 0.
  void CheckCrash(core::RequestId id, const relay::Suspicion& suspicion,
                  unsigned sends);
  /// Handles the loss of a send whose upstream was probed, or could not be
  /// probed in time; nothing if the request has ended or was sent again.
  void FinishCheck(core::RequestId id, unsigned sends, bool crashed);
  /// Returns whether the end of an answer is only that of its connection, and
  /// its upstream may be asked whether it still runs.
  [[nodiscard]] bool EndIsUnproven(core::RequestId id);
  /// Finds out whether the upstream of an answer whose end is that of its
  /// connection still runs, and then completes it or handles its loss.
  void CheckEnd(core::RequestId id);
  /// Handles such an end once its upstream was probed, or could not be probed
  /// in time; nothing if the request has ended or was sent again.
  void FinishEndCheck(core::RequestId id, unsigned sends, bool crashed);
  /// Handles losses and ends that have waited too long for the result of a
  /// probe.
  void ExpireChecks(core::Instant now);
  /// Sends the inquiries that find out whether this host is cut off.
  void Inquire();
  /// Records that a connection to an upstream was opened or not.
  void RecordInquiry(const core::UpstreamId& upstream, ProbeResult result);
  /// Logs changes of whether this host reaches the upstreams of services.
  void ReportPathChanges();
  /// Logs changes of whether new requests to models are refused.
  void ReportOverload();
  /// Returns the request as it is sent to the first hop.
  [[nodiscard]] net::Request MakeRequest(core::RequestId id,
                                         const relay::Send& send) const;
  /// Reports an upstream as suspected, at most once in a while.
  void ReportSuspect(const core::UpstreamId& upstream, core::Instant now);
  /// Probes an upstream at which an answer was lost, on a new connection; one
  /// that is being probed gets no second one.
  void ProbeAfterLoss(const core::UpstreamId& upstream,
                      const std::string& address, const Prober::Done& done);
  /// Passes on what another host has refused, unless it promises that a request
  /// has not run which may have run.
  void FinishPartnerRefusal(core::RequestId id, const net::Response& response);
  /// Handles the end of a response that is not a stream.
  void FinishResponse(core::RequestId id);
  /// Handles the end of a stream.
  void FinishStream(core::RequestId id);
  /// Logs the end of a request and records its metrics.
  void RecordEnd(const Job& job, unsigned status, std::string_view outcome,
                 std::string_view reason);
  void MoveStalledStreams(core::Instant now);
  /// Returns the silence after which a stream is moved to another path.
  [[nodiscard]] core::Duration StallTime(core::RequestId id, const Job& job);
  /// Reports the upstreams on the paths of silent streams as suspected.
  void ReportSuspects(core::Instant now);

  Protocol protocol_;
  net::Server server_;
  net::Client client_;
  Prober prober_;
  relay::Relay relay_;
  metrics::Registry& registry_;
  SuspectHandler on_suspects_;
  LeaveHandler on_leave_wanted_;
  /// When each upstream was last reported as suspected.
  std::map<core::UpstreamId, core::Instant> suspected_;
  /// What waits for the result of the probe of each upstream.
  std::map<core::UpstreamId, std::vector<Prober::Done>> loss_probes_;
  std::mt19937_64 random_;
  std::shared_ptr<const fleet::Table> table_;
  std::optional<Lease> lease_;
  bool outdated_ = false;  ///< As last logged.
  std::map<core::RequestId, Job> jobs_;
  std::unordered_map<net::ExchangeId, core::RequestId> by_exchange_;
  std::unordered_map<net::CallId, core::RequestId> by_call_;
  std::map<net::ExchangeId, PendingRequest> pending_;
  std::uint64_t next_request_ = 1;
  core::Instant next_sweep_;
  AnswerTimes answer_times_;
  std::optional<DrainPlan> drain_;
  bool stopping_ = false;  ///< No more connections are accepted.
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PROXY_H_
