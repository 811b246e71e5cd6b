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
#include "foxquay/gateway/protocol.h"
#include "foxquay/metrics/registry.h"
#include "foxquay/net/client.h"
#include "foxquay/net/server.h"
#include "foxquay/relay/events.h"
#include "foxquay/relay/relay.h"

namespace foxquay::gateway {

/// Interval at which deadlines and held requests are looked at.
inline constexpr core::Duration kReviewInterval = std::chrono::milliseconds(25);

/// Carries callers' requests to upstreams and their answers back, as a Relay
/// decides.
///
/// Not thread-safe: runs on the thread of the io_context.
class Proxy {
 public:
  /// Receives the upstreams on whose way a request stalls.
  using SuspectHandler = std::function<void(std::vector<core::UpstreamId>)>;

  Proxy(boost::asio::io_context& context, const Protocol& protocol,
        const relay::BudgetOptions& budget, metrics::Registry& registry,
        std::uint64_t seed, SuspectHandler on_suspects);

  [[nodiscard]] std::error_code Listen(const std::string& address);

  /// Returns `IP:PORT` of the listener. Precondition: Listen succeeded.
  [[nodiscard]] std::string address() const { return server_.address(); }

  /// Takes a configuration whose version is higher than the current one.
  void SetFleet(std::shared_ptr<const fleet::Table> table);
  void SetUpstreams(const std::vector<schema::Announcement>& upstreams);
  /// Sets until when the configuration may be acted on; nothing if it may not.
  void SetAdmission(std::optional<core::Instant> until);
  void SetHosts(std::size_t hosts);
  [[nodiscard]] relay::Relay& relay() noexcept { return relay_; }

  /// Asks callers to close their connections from now on.
  void StartDrain();
  /// Takes no more connections and requests.
  void StopAccepting();

  /// Returns whether requests are admitted now.
  [[nodiscard]] bool ready() const;
  /// Returns whether the configuration may be acted on now.
  [[nodiscard]] bool can_admit() const;
  /// Returns the number of requests being read or answered.
  [[nodiscard]] std::size_t open_requests() const {
    return server_.open_requests();
  }

  /// Carries out what is due. Called each kReviewInterval.
  void Review();

 private:
  struct Job {
    net::ExchangeId exchange;
    net::Request request;
    CallerInfo caller;
    core::WorkspaceId workspace;
    core::Instant arrived;
    std::optional<net::CallId> call;
    core::Instant sent;        ///< Start of the current send.
    core::Instant last_event;  ///< Latest event, or the start of the send.
    core::Duration stall_timeout{};
    unsigned sends = 0;
    unsigned status = 0;
    bool streaming = false;       ///< The current answer is a stream of events.
    bool event_received = false;  ///< The current send has passed on an event.
    bool head_sent = false;
    bool not_run = false;
    std::string fault_address;
    net::Response response;  ///< Collected, or the head of a stream.
    std::optional<relay::EventFilter> filter;
  };

  /// A request that came before the configuration was confirmed.
  struct PendingRequest {
    net::Request request;
    CallerInfo caller;
    core::Instant until;
  };

  void HandleRequest(net::ExchangeId exchange, net::Request&& request);
  /// Answers a request that was read while the configuration may be acted on.
  void RouteRequest(net::ExchangeId exchange, net::Request&& request,
                    CallerInfo caller);
  void ReviewPending(core::Instant now);
  void HandleCallerDisconnected(net::ExchangeId exchange);
  void HandleHead(net::CallId call, unsigned status, net::Fields&& fields);
  void HandleData(net::CallId call, const std::string& data);
  void HandleEnd(net::CallId call);
  void HandleFailure(net::CallId call, net::Failure failure);

  void Admit(net::ExchangeId exchange, net::Request&& request,
             CallerInfo caller, const schema::Route& route,
             const core::WorkspaceId& workspace, std::uint32_t priority);
  void Reject(net::ExchangeId exchange, const CallerInfo& caller,
              unsigned status, std::optional<core::Duration> retry_after,
              std::string_view reason);
  void Apply(core::RequestId id, const relay::Decision& decision);
  void Execute(core::RequestId id, const relay::Send& send);
  void Execute(core::RequestId id, const relay::Hold& hold);
  void Execute(core::RequestId id, const relay::Refuse& refuse);
  void Execute(core::RequestId id, const relay::Abort& abort);
  /// Removes a job and cancels its send.
  Job TakeJob(core::RequestId id);
  void HandleLoss(core::RequestId id, const relay::Loss& loss);
  void FinishResponse(core::RequestId id);
  void FinishStream(core::RequestId id);
  void RecordEnd(const Job& job, unsigned status, std::string_view outcome,
                 std::string_view reason);
  void MoveStalledStreams(core::Instant now);
  [[nodiscard]] core::Duration StallTime(core::RequestId id, const Job& job);
  void ReportSuspects(core::Instant now);

  Protocol protocol_;
  net::Server server_;
  net::Client client_;
  relay::Relay relay_;
  metrics::Registry& registry_;
  SuspectHandler on_suspects_;
  std::map<core::UpstreamId, core::Instant> suspected_;
  std::mt19937_64 random_;
  std::shared_ptr<const fleet::Table> table_;
  std::optional<core::Instant> admitted_until_;
  std::map<core::RequestId, Job> jobs_;
  std::unordered_map<net::ExchangeId, core::RequestId> by_exchange_;
  std::unordered_map<net::CallId, core::RequestId> by_call_;
  std::map<net::ExchangeId, PendingRequest> pending_;
  std::uint64_t next_request_ = 1;
  core::Instant next_sweep_;
  bool draining_ = false;
  bool stopping_ = false;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PROXY_H_
