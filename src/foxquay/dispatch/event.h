#ifndef FOXQUAY_DISPATCH_EVENT_H_
#define FOXQUAY_DISPATCH_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/routing/chain.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/policy.h"
#include "foxquay/stream/stream.h"

namespace foxquay::dispatch {

/// A text completion to generate with a model.
struct Completion {
  core::ModelId model;
  std::string adapter;  ///< Adapter to apply; empty for none.
  std::string version;  ///< Model version to use; empty for any.
  std::string prompt;
  std::uint32_t max_tokens = 0;  ///< Most tokens to generate; 0 for the policy.
};

/// A call of a plain service. The HTTP layer keeps the request body.
struct ServiceCall {
  core::ServiceId service;
  std::uint32_t body_bytes = 0;  ///< Size of the request body.
};

/// A request as received from the caller, already parsed and validated.
struct Submission {
  core::RequestId id;
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  /// Time from arrival to deadline; the policy's timeout if absent.
  std::optional<core::Duration> timeout;
  bool no_repeat = false;       ///< Whether it may run at most once.
  std::string idempotency_key;  ///< Empty if the caller gave none.
  std::variant<Completion, ServiceCall> work;
};

using routing::Chain;
using routing::Stage;
using stream::LegEnd;

/// Result of a claim that was requested with RequestClaim.
enum class ClaimDecision : std::uint8_t {
  kGranted,   ///< The request owns the key and may run.
  kRunning,   ///< Another request with this key is running.
  kComplete,  ///< A request with this key completed; its answer is returned.
  kUnknown,   ///< A request with this key was dispatched; its answer is lost.
  kExpired,   ///< The expiry in the key has passed or is too far ahead.
  kMismatch,  ///< The key was used for a different request.
  kUnavailable,  ///< The control state did not answer, e.g. without a quorum.
};

/// A request arrived.
struct Arrived {
  Submission submission;
};

/// A requested claim was decided. `status` and `body` are set for kComplete.
struct ClaimDecided {
  core::RequestId request;
  ClaimDecision decision = ClaimDecision::kUnavailable;
  std::uint32_t status = 0;  ///< HTTP status of the recorded answer.
  std::string body;  ///< Recorded answer; empty if it was too long to keep.
};

/// A leg generated a token.
struct LegToken {
  core::LegId leg;
  std::uint64_t epoch = 0;  ///< Epoch of the StartLeg that started the leg.
  std::uint32_t index = 0;  ///< Position in the whole answer, from 0.
  std::string text;
};

/// A leg ended. No LegToken of this leg follows.
struct LegEnded {
  core::LegId leg;
  LegEnd end = LegEnd::kFailed;
  std::optional<core::UpstreamId> culprit;  ///< Upstream that failed, if known.
};

/// A service upstream answered. The HTTP layer keeps the answer for the caller.
struct ServiceAnswered {
  core::LegId leg;
  std::uint32_t status = 0;  ///< HTTP status.
  std::string body;  ///< Answer to record; empty unless the request is claimed.
};

/// A service call failed.
struct ServiceFailed {
  core::LegId leg;
  bool sent = true;  ///< Whether any byte may have reached the upstream.
};

/// The caller closed its connection or stopped reading.
struct CallerGone {
  core::RequestId request;
};

/// Replaces the list of known upstreams.
struct UpstreamsChanged {
  std::vector<schema::Announcement> upstreams;
};

/// Kind of object that an override of a policy default applies to.
enum class Scope : std::uint8_t {
  kWorkspace,
  kModel,
  kUpstream,
  kDataCentre,
  kHost
};

/// A policy value that replaces the default for one object. Operators know it
/// as an exception.
struct Override {
  schema::PolicyKey key;
  Scope scope = Scope::kWorkspace;
  std::string object;  ///< Identifier of the object within its scope.
  std::int64_t value = 0;
};

/// Replaces the policy in force.
struct PolicyChanged {
  std::vector<std::int64_t> defaults;  ///< Indexed by schema::PolicyKey.
  std::vector<Override> overrides;
};

/// Opens or closes admission on this host. Admission is open while, for
/// example, the host holds a configuration lease. Closing it refuses all
/// requests that have not started.
struct AdmissionChanged {
  bool open = true;
  std::string reason;  ///< Reason given to refused callers.
  /// Time at which open admission closes without a further event, e.g. the end
  /// of a lease. Without it, a process that was suspended could admit requests
  /// before its control thread runs and closes admission.
  std::optional<core::Instant> until = std::nullopt;
  /// Time at which the configuration was last known to be current, if it is
  /// known.
  std::optional<core::Instant> confirmed = std::nullopt;
  /// Time as of which the configuration and the upstreams contained every
  /// change that could have been acknowledged, if it is known.
  std::optional<core::Instant> complete_as_of = std::nullopt;
};

/// Time passed. Every other event also fires the timers that are due.
struct Tick {};

using Event =
    std::variant<Arrived, ClaimDecided, LegToken, LegEnded, ServiceAnswered,
                 ServiceFailed, CallerGone, UpstreamsChanged, PolicyChanged,
                 AdmissionChanged, Tick>;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_EVENT_H_
