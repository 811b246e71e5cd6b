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
#include "foxquay/gateway/protocol.h"
#include "foxquay/net/client.h"
#include "foxquay/placement/reconciler.h"

namespace foxquay::gateway {

/// Interval at which orders are reviewed.
inline constexpr core::Duration kPlacerInterval =
    std::chrono::milliseconds(100);

/// Time after which an upstream's silence on an order or inquiry counts as no
/// answer.
inline constexpr core::Duration kResponseTimeout =
    std::chrono::milliseconds(1000);

/// Sends the orders of one Reconciler for each service with an engine.
///
/// Not thread-safe: runs on the thread of the io_context.
class Placer {
 public:
  /// Receives the layers that an upstream was seen to hold.
  using LayersHandler = std::function<void(
      const core::UpstreamId&, const std::optional<schema::LayerRange>&)>;

  Placer(boost::asio::io_context& context, const Protocol& protocol,
         LayersHandler on_layers);

  void SetLeadership(bool leads, std::uint64_t term);
  void SetFleet(std::shared_ptr<const fleet::Table> table);
  void SetUpstreams(std::vector<schema::Announcement> upstreams);

  /// Asks an upstream for its state and calls `done` with whether it answered
  /// as that upstream.
  void Probe(const schema::Announcement& upstream,
             std::function<void(bool)> done);

  /// Sends what is due. Called each kPlacerInterval.
  void Review();

 private:
  struct Call {
    core::ServiceId service;
    placement::Action action;
    core::Instant deadline;
    unsigned status = 0;
    std::string body;
  };

  struct PendingProbe {
    std::function<void(bool)> done;
    core::Instant deadline;
    unsigned status = 0;
  };

  void FinishProbe(net::CallId id, bool answered);
  void UpdateReconcilers(core::Instant now);
  void Send(const core::ServiceId& service, const placement::Action& action,
            core::Instant now);
  void FinishCall(net::CallId id, bool answered);

  Protocol protocol_;
  LayersHandler on_layers_;
  net::Client client_;
  std::shared_ptr<const fleet::Table> table_;
  std::vector<schema::Announcement> upstreams_;
  std::map<core::ServiceId, placement::Reconciler> reconcilers_;
  std::unordered_map<net::CallId, Call> calls_;
  std::unordered_map<net::CallId, PendingProbe> probes_;
  bool leads_ = false;
  std::uint64_t term_ = 0;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PLACER_H_
