#ifndef FOXQUAY_RELAY_DECISION_H_
#define FOXQUAY_RELAY_DECISION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/fleet/table.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/relay/upstreams.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::relay {

/// An admitted request, with what its routing depends on.
struct RequestContext {
  std::string name;  ///< The caller's request id, for logs.
  /// Configuration that admitted the request; owns `route` and `service`.
  std::shared_ptr<const fleet::Table> table;
  const schema::Route* route = nullptr;
  const schema::Service* service = nullptr;
  core::WorkspaceId workspace;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Work work;
  quarantine::Parts parts;  ///< What in it may crash an upstream.
  core::Instant arrived;
  core::Instant deadline;  ///< Earlier of the caller's and the route's limit.
  /// Id of the last event that the caller has.
  std::optional<std::uint64_t> resume_after;
  /// The configuration may lack changes that have to be in force, so that only
  /// another host may serve the request.
  bool outdated = false;
  /// Another host that cannot serve it has passed it to this one.
  bool relayed = false;
  unsigned prior_sends = 0;  ///< That host's sends that reached upstreams.
};

/// A change of whether this host reaches the upstreams of a service.
struct PathChange {
  core::ServiceId service;
  bool cut_off = false;
};

/// Send the request along a path.
struct Send {
  std::vector<Hop> hops;
  unsigned attempt = 1;  ///< Number of this send, from 1.
  /// Whether an idle connection may be reused. If a reused connection is lost,
  /// it is unknown whether the request has run.
  bool reuse_connection = true;
  /// The only hop is another entry host, which sends it to an upstream.
  bool to_partner = false;
  unsigned prior_sends = 0;  ///< Sends that reached upstreams before.
};

/// Keep the request waiting until a later decision.
struct Hold {
  std::string reason;
};

/// Refuse the request and end it.
struct Refuse {
  unsigned status = 503;  ///< 503 only if it has not run and will not.
  std::optional<core::Duration> retry_after;
  std::string reason;
};

/// Abort an answer that has begun and cannot be completed.
struct Abort {
  std::string reason;
};

using Decision = std::variant<Send, Hold, Refuse, Abort>;

/// How a send ended without a complete answer.
enum class LossKind : std::uint8_t {
  kNotSent,     ///< Nothing reached the upstream.
  kNotRun,      ///< The upstream states that it did not run it.
  kUnanswered,  ///< The request may have run.
  kCut,         ///< The answer ended early.
  kStalled,     ///< No data arrived for too long.
  kError,       ///< The upstream answered with an error.
};

/// Returns the name of a loss kind as used in logs and metrics. Thread-safe.
[[nodiscard]] const char* Name(LossKind kind) noexcept;

/// A send that ended without a complete answer.
struct Loss {
  LossKind kind = LossKind::kUnanswered;
  std::string fault_address;  ///< Upstream at fault; empty if not known.
  /// The connection ended before the answer did, which was not a failure.
  bool unfinished = false;
  /// The upstream was then found to have crashed.
  bool crashed = false;
};

/// An upstream that may have crashed because of a request.
struct Suspicion {
  std::string request;  ///< The caller's request id, for logs.
  core::ServiceId service;
  core::WorkspaceId workspace;
  core::UpstreamId upstream;
  std::string address;
  core::WallTime born;
  quarantine::Parts parts;  ///< What in the request may be the cause.
  bool begun = false;       ///< A part of the answer had arrived.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_DECISION_H_
