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

/// A completion to generate.
struct Completion {
  core::ModelId model;
  std::string adapter;  ///< Empty for none.
  std::string version;  ///< Empty for any.
  std::string prompt;
  std::uint32_t max_tokens = 0;
};

/// A call of a plain service; the HTTP shell keeps its body.
struct ServiceCall {
  core::ServiceId service;
  std::uint32_t body_bytes = 0;
};

/// A request as its caller sent it, already checked for form.
struct Submission {
  core::RequestId id;
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  std::optional<core::Duration> timeout;  ///< Relative to its arrival.
  bool no_repeat = false;                 ///< May run at most once.
  std::string idempotency_key;            ///< Empty if the caller gave none.
  std::variant<Completion, ServiceCall> work;
};

using routing::Chain;
using routing::Stage;
using stream::LegEnd;

/// Outcome of a claim that RequestClaim asked for.
enum class ClaimDecision : std::uint8_t {
  kGranted,      ///< This request may run.
  kRunning,      ///< Another request with this key is running.
  kComplete,     ///< It ran before; `status` and `body` hold its answer.
  kUnknown,      ///< It was dispatched before and its answer is lost.
  kExpired,      ///< The life shown by the key is over or too long.
  kMismatch,     ///< The key was used for a different request.
  kUnavailable,  ///< No quorum; nothing is known.
};

/// A request arrived.
struct Arrived {
  Submission submission;
};

/// A claim was decided.
struct ClaimDecided {
  core::RequestId request;
  ClaimDecision decision = ClaimDecision::kUnavailable;
  std::uint32_t status = 0;  ///< HTTP status of the recorded answer.
  std::string body;          ///< Recorded answer, if short enough to keep.
};

/// A leg produced a token.
struct LegToken {
  core::LegId leg;
  std::uint64_t epoch = 0;
  std::uint32_t index = 0;  ///< Counted from 0 over the whole answer.
  std::string text;
};

/// A leg ended; no LegToken of this leg follows.
struct LegEnded {
  core::LegId leg;
  LegEnd end = LegEnd::kFailed;
  std::optional<core::UpstreamId> culprit;  ///< Failing stage, if known.
};

/// A service upstream answered; the HTTP shell keeps the answer's body.
struct ServiceAnswered {
  core::LegId leg;
  std::uint32_t status = 0;
  std::string body;  ///< Body to record for a claimed request.
};

/// A service call failed.
struct ServiceFailed {
  core::LegId leg;
  bool sent = true;  ///< Whether any byte may have reached the upstream.
};

/// The caller closed its connection.
struct CallerGone {
  core::RequestId request;
};

/// The usable upstreams changed; replaces the former list.
struct UpstreamsChanged {
  std::vector<schema::Announcement> upstreams;
};

/// Scope of an exception to a default.
enum class Scope : std::uint8_t {
  kWorkspace,
  kModel,
  kUpstream,
  kDataCentre,
  kHost
};

/// A value that overrides a default for one object.
struct Override {
  schema::PolicyKey key;
  Scope scope = Scope::kWorkspace;
  std::string object;
  std::int64_t value = 0;
};

/// The policy in force changed; replaces the former one. `defaults` is indexed
/// by PolicyKey.
struct PolicyChanged {
  std::vector<std::int64_t> defaults;
  std::vector<Override> overrides;
};

/// Whether this host may admit requests, e.g. holds a configuration lease.
struct AdmissionChanged {
  bool open = true;
  std::string reason;  ///< Told to refused callers.
  /// When an open admission closes by itself, e.g. the end of a lease: a
  /// process that was frozen must not admit before its control thread runs.
  std::optional<core::Instant> until = std::nullopt;
};

/// Time passed; also implied by every other event.
struct Tick {};

using Event =
    std::variant<Arrived, ClaimDecided, LegToken, LegEnded, ServiceAnswered,
                 ServiceFailed, CallerGone, UpstreamsChanged, PolicyChanged,
                 AdmissionChanged, Tick>;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_EVENT_H_
