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

/// Information that a caller's request carries in its head.
struct CallerInfo {
  std::string id;   ///< Request id chosen by the caller; may be empty.
  std::string key;  ///< API key; empty if there is none.
  std::optional<core::Duration> timeout;  ///< How long the caller waits.
  relay::Work work;
  std::optional<std::uint64_t> resume_after;  ///< Id of the last event it has.
  /// Parts of the prompt in order; the last one is the request's own.
  std::vector<core::PromptPartId> prompt_parts;
};

/// Information that is added to a caller's request when it is forwarded.
struct ForwardingInfo {
  core::Duration remaining{};    ///< Time left until the request's deadline.
  core::WorkspaceId workspace;   ///< Empty if no key was needed.
  std::uint32_t priority = 0;    ///< Rank of the request; 0 is the highest.
  std::vector<relay::Hop> hops;  ///< Path of the request; not empty.
  /// Id of the last event that the caller has.
  std::optional<std::uint64_t> resume_after;
};

/// Information that is added to a caller's request when it is passed to another
/// host, which takes it as if it came from the caller.
struct RelayingInfo {
  core::Duration remaining{};  ///< Time left until the request's deadline.
  /// Id of the last event that the caller has.
  std::optional<std::uint64_t> resume_after;
};

/// Information that an upstream's response carries in its head.
struct ResponseInfo {
  bool not_run = false;  ///< Whether the upstream did not run the request.
  /// Whether the upstream has signed the response.
  bool is_signed = false;
  /// Whether the body has an encoding, which upstreams do not apply.
  bool is_encoded = false;
  /// Address of the upstream at fault; empty if not known.
  std::string fault_address;
  /// Whether the upstream that answers states that it leaves.
  bool leaving = false;
  /// Requests a second that the upstream that answers takes from all hosts.
  std::optional<double> limit;
  bool invalid_limit = false;  ///< A limit is stated that has no valid value.
  /// Time for which the upstream that answers asks this host for no requests.
  std::optional<core::Duration> hold_off;
};

/// Takes what an upstream states about itself in an answer.
using StatementsHandler =
    std::function<void(const core::UpstreamId&, const ResponseInfo&)>;

/// Functions that read and write the messages exchanged with callers and
/// upstreams.
struct Protocol {
  /// Field of requests and responses that holds the request id.
  std::string id_field;
  std::function<CallerInfo(const net::Request&)> read_caller;
  /// Adds forwarding information to the fields of the caller's request and
  /// removes the caller's key.
  std::function<void(net::Fields&, const ForwardingInfo&)> write_forwarding;
  /// Adds what another host has to know to the fields of the caller's request.
  std::function<void(net::Fields&, const RelayingInfo&)> write_relaying;
  std::function<ResponseInfo(unsigned status, const net::Fields&)>
      read_response;
  /// Removes what an upstream states about itself from the fields of its
  /// response: it is meant for the host that has sent the request.
  std::function<void(net::Fields&)> remove_statements;
  std::function<net::Request(const placement::Order&)> write_order;
  /// Reads the outcome of an order from the status of the response.
  std::function<placement::OrderOutcome(unsigned status)> read_order;
  std::function<net::Request(const core::UpstreamId&)> write_inquiry;
  /// Reads the response to an inquiry; not set if it is malformed.
  std::function<std::optional<placement::Report>(const std::string& body)>
      read_report;
};

/// Call by which an upstream announces itself.
struct Announce {
  schema::Announcement announcement;
};

/// Call by which an upstream withdraws.
struct Withdraw {
  core::UpstreamId upstream;
};

/// Call by which an operator replaces the fleet configuration.
struct ReplaceFleet {
  schema::Fleet fleet;
  std::string source;  ///< Body of the call, as received.
};

/// Call by which an operator reads the fleet configuration.
struct ReadFleet {};

/// Call by which a caller asks for the addresses of entry hosts.
struct FindEntries {
  core::DataCentreId data_centre;  ///< Of the caller; may be empty.
};

/// A call that is unknown or malformed.
struct InvalidCall {
  unsigned status = 400;    ///< Status of the response.
  core::Findings findings;  ///< What is wrong with the body; may be empty.
};

using ControlCall = std::variant<Announce, Withdraw, ReplaceFleet, ReadFleet,
                                 FindEntries, InvalidCall>;

/// Functions that read and write the messages of the control interface, for
/// operators, upstreams that announce themselves and callers that look up the
/// addresses of entry hosts.
struct ControlProtocol {
  /// Reads any call; those that it cannot read become InvalidCall.
  std::function<ControlCall(const net::Request&)> read;
  /// Writes the response to FindEntries: addresses and the time for which they
  /// may be used.
  std::function<net::Response(const std::vector<std::string>& addresses,
                              core::Duration ttl)>
      write_entries;
  /// Writes the response to a call whose body has findings.
  std::function<net::Response(const core::Findings&)> write_findings;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_PROTOCOL_H_
