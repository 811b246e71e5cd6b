#ifndef FOXQUAY_DAEMON_HOOKS_H_
#define FOXQUAY_DAEMON_HOOKS_H_

#include <functional>
#include <string>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/daemon/fwd.h"
#include "foxquay/http/caller.h"
#include "foxquay/metrics/registry.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::daemon {

/// A claim on an idempotency key, which a request must hold before it is
/// dispatched.
struct ClaimRequest {
  core::RequestId request;
  core::WorkspaceId workspace;
  std::string key;     ///< Idempotency key.
  std::string digest;  ///< SHA-256 of workspace, method, URL and body, as hex.
};

/// Gives up a claim under which nothing was dispatched.
struct ClaimRelease {
  core::RequestId request;
  std::string key;
};

/// The outcome of a claimed request, to be recorded under its key.
struct ClaimRecord {
  core::RequestId request;
  std::string key;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::uint32_t status = 0;
  std::string body;
};

/// The end of a request, for the log and the metrics.
struct RequestEnd {
  std::string request;  ///< Request name that upstreams see.
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string reason;
  std::uint32_t tokens = 0;  ///< Delivered to the caller.
  core::Duration total{};
};

/// Callbacks from Traffic and Host to the control node, the log and the
/// metrics.
///
/// Every function is called concurrently from several threads and must not
/// block. An empty function selects the behaviour of a host without control
/// state.
struct ControlHooks {
  /// Requests a claim; the decision follows by Traffic::DecideClaim. If empty,
  /// every claim is decided as kUnavailable.
  std::function<void(ClaimRequest&&)> request_claim;
  std::function<void(ClaimRelease&&)> release_claim;
  std::function<void(ClaimRecord&&)> record_outcome;
  /// Called for each announcement received by HTTP. The control node then
  /// supplies the roster by Traffic::SetUpstreams. If empty, the host uses the
  /// announcements that it received itself until they expire.
  std::function<void(const schema::Announcement&)> announcement_received;
  /// Called for each withdrawal received by HTTP.
  std::function<void(const core::UpstreamId&)> withdrawal_received;
  /// Answers `GET /v1/entry` for a caller in the given data centre; an empty id
  /// means that it is unknown. If the function is empty, the answer lists this
  /// host and the configured peers.
  std::function<http::EntryAnswer(const core::DataCentreId&)> entry_answer;
  /// Called once when a drain begins.
  std::function<void()> drain_started;
  /// Adds a duration to the histogram of a series.
  std::function<void(metrics::Series, const core::WorkspaceId&,
                     core::TrafficClass, core::Duration)>
      record_time;
  /// Called once for each request that has ended.
  std::function<void(const RequestEnd&)> request_ended;
  /// Writes one key=value log line; if empty, lines go to standard error.
  std::function<void(const std::string&)> log;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_HOOKS_H_
