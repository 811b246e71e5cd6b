#ifndef FOXQUAY_GATEWAY_PROTOCOL_H_
#define FOXQUAY_GATEWAY_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/finding.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/net/message.h"
#include "foxquay/placement/reconciler.h"
#include "foxquay/relay/upstreams.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::gateway {

/// What the head of a caller's request says.
struct CallerInfo {
  std::string id;   ///< The caller's name for the request.
  std::string key;  ///< API key; empty if none was presented.
  std::optional<core::Duration> timeout;  ///< How long the caller will wait.
  relay::Work work;
  std::optional<std::uint64_t> resume_after;  ///< Last event that it has.
};

/// What an upstream is told beside the caller's own request.
struct ForwardingInfo {
  core::Duration remaining{};  ///< Time after which no answer is of use.
  core::WorkspaceId workspace;
  std::vector<relay::Hop> hops;
  std::optional<std::uint64_t> resume_after;
};

/// What the head of an upstream's answer says.
struct ResponseInfo {
  bool not_run = false;       ///< Whether it states that nothing was run.
  std::string fault_address;  ///< Upstream at fault, if named.
};

/// How callers and upstreams are spoken to.
struct Protocol {
  /// Field by which answers name the request that they belong to.
  std::string id_field;
  std::function<CallerInfo(const net::Request&)> read_caller;
  /// Adds an offer to the caller's fields, without the caller's key.
  std::function<void(net::Fields&, const ForwardingInfo&)> write_forwarding;
  std::function<ResponseInfo(unsigned status, const net::Fields&)>
      read_response;
  std::function<net::Request(const placement::Order&)> write_order;
  std::function<placement::OrderOutcome(unsigned status)> read_order;
  std::function<net::Request(const core::UpstreamId&)> write_inquiry;
  std::function<std::optional<placement::Report>(const std::string& body)>
      read_report;
};

/// An upstream announces itself.
struct Announce {
  schema::Announcement announcement;
};

/// An upstream leaves.
struct Withdraw {
  core::UpstreamId upstream;
};

/// An operator replaces the configuration of the fleet.
struct ReplaceFleet {
  schema::Fleet fleet;
  std::string source;  ///< As sent.
};

/// An operator reads the configuration of the fleet.
struct ReadFleet {};

/// A caller asks for addresses.
struct FindEntries {
  core::DataCentreId data_centre;  ///< Where the caller is; may be empty.
};

/// A call that is none of these.
struct InvalidCall {
  unsigned status = 400;
  core::Findings findings;
};

using ControlCall = std::variant<Announce, Withdraw, ReplaceFleet, ReadFleet,
                                 FindEntries, InvalidCall>;

/// How operators, upstreams and callers without an address are spoken to.
struct ControlProtocol {
  std::function<ControlCall(const net::Request&)> read;
  std::function<net::Response(const std::vector<std::string>& addresses,
                              core::Duration ttl)>
      write_entries;
  std::function<net::Response(const core::Findings&)> write_findings;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PROTOCOL_H_
