#ifndef FOXQUAY_GATEWAY_PLACER_H_
#define FOXQUAY_GATEWAY_PLACER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/fleet/table.h"
#include "foxquay/gateway/prober.h"
#include "foxquay/gateway/protocol.h"
#include "foxquay/net/client.h"
#include "foxquay/placement/reconciler.h"
#include "foxquay/relay/hold_offs.h"

namespace foxquay::gateway {

/// Interval at which Placer::Review must be called.
inline constexpr core::Duration kPlacerInterval =
    std::chrono::milliseconds(100);

/// Time after which an order or inquiry without a response counts as
/// unanswered.
inline constexpr core::Duration kResponseTimeout =
    std::chrono::milliseconds(1000);

/// Places the layers of models: runs one Reconciler for each service whose
/// engine has layers, sends its orders and inquiries to upstreams and passes
/// the responses back. Also probes upstreams on request.
///
/// Not thread-safe: runs on the thread of the io_context.
class Placer {
 public:
  /// Receives the layers that an upstream holds according to a report without
  /// an order in progress; not set if it holds none.
  using LayersHandler = std::function<void(
      const core::UpstreamId&, const std::optional<schema::LayerRange>&)>;

  /// `hold_offs` holds the pauses that upstreams have requested from this
  /// process. Precondition: it outlives the placer.
  Placer(boost::asio::io_context& context, const Protocol& protocol,
         relay::HoldOffs& hold_offs, LayersHandler on_layers);

  /// Starts or stops sending orders, when this host gains or loses leadership
  /// of the replicated log. `term` is the term of that leadership.
  void SetLeadership(bool leads, std::uint64_t term);
  /// Replaces the fleet configuration. Precondition: `table` is not null.
  void SetFleet(std::shared_ptr<const fleet::Table> table);
  /// Replaces the upstreams in use, those of all services.
  void SetUpstreams(std::vector<schema::Announcement> upstreams);

  /// Sends an inquiry to an upstream and calls `done` with whether the expected
  /// upstream responded in time. Does neither during a pause of the upstream.
  void Probe(const schema::Announcement& upstream,
             std::function<void(bool)> done);

  /// Expires calls without a response and sends the orders and inquiries that
  /// are due. Must be called every kPlacerInterval.
  void Review();

  /// Returns how many requests of the usual size the layers of all models hold
  /// at once; 0 on a host that does not lead.
  [[nodiscard]] double HeldRequests() const;

 private:
  /// An order or inquiry that awaits its response.
  struct Call {
    core::ServiceId service;
    placement::Action action;
    core::Instant deadline;
    unsigned status = 0;
    std::string body;
    core::UpstreamId upstream;
  };

  /// Passes the current upstreams and engines to the reconcilers.
  void UpdateReconcilers(core::Instant now);
  void Send(const core::ServiceId& service, const placement::Action& action,
            core::Instant now);
  /// Handles the end of a call; `answered` is whether a complete
  /// response arrived.
  /// Adds to the body of an answer; ends the call if it is too large.
  void HandleData(net::CallId id, const std::string& data);
  void HandleHead(net::CallId id, unsigned status, const net::Fields& fields);
  /// Records the pause that an upstream asks for in an answer.
  void RecordStatements(const core::UpstreamId& upstream,
                        const ResponseInfo& info);
  /// Handles an order or inquiry that is not sent because of a pause.
  void Skip(const core::ServiceId& service, const placement::Action& action,
            core::Instant now);
  void FinishCall(net::CallId id, bool answered);
  /// Logs what the placement of a service holds where that has changed.
  void LogPlacement(const core::ServiceId& service);

  Protocol protocol_;
  relay::HoldOffs& hold_offs_;
  LayersHandler on_layers_;
  net::Client client_;
  Prober prober_;
  std::shared_ptr<const fleet::Table> table_;
  std::vector<schema::Announcement> upstreams_;
  std::map<core::ServiceId, placement::Reconciler> reconcilers_;
  /// Capacities as last logged.
  std::map<core::ServiceId, std::vector<placement::CentreCapacity>> logged_;
  std::unordered_map<net::CallId, Call> calls_;
  bool leads_ = false;
  std::uint64_t term_ = 0;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PLACER_H_
