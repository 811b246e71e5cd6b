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

/// A claim that a request needs before anything of it is dispatched.
struct ClaimRequest {
  core::RequestId request;
  core::WorkspaceId workspace;
  std::string key;
  std::string digest;  ///< SHA-256 of workspace, method, URL and body, as hex.
};

/// A claim under which nothing was dispatched.
struct ClaimRelease {
  core::RequestId request;
  std::string key;
};

/// How a claimed request ended.
struct ClaimRecord {
  core::RequestId request;
  std::string key;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::uint32_t status = 0;
  std::string body;
};

/// How a request ended, for the log and the counters.
struct RequestEnd {
  std::string request;  ///< Its name towards upstreams.
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string reason;
  std::uint32_t tokens = 0;  ///< Delivered to the caller.
  core::Duration total{};
};

/// What the traffic side asks of the control side. Every function is called on
/// traffic threads, concurrently, and must return without waiting.
///
/// An empty function selects the behaviour of a host without control state.
struct ControlHooks {
  /// Decides a claim later by Traffic::DecideClaim; without it every claim is
  /// kUnavailable.
  std::function<void(ClaimRequest&&)> request_claim;
  std::function<void(ClaimRelease&&)> release_claim;
  std::function<void(ClaimRecord&&)> record_outcome;
  /// Told of each announcement heard by HTTP. The control side then supplies
  /// the roster by Traffic::SetUpstreams; without it, the host's own
  /// announcements are used until they expire.
  std::function<void(const schema::Announcement&)> announcement_received;
  /// Told of each withdrawal heard by HTTP.
  std::function<void(const core::UpstreamId&)> withdrawal_received;
  /// Answers `GET /v1/entry` for callers in a data centre (empty: unknown);
  /// without it, the answer names this host and the configured peers.
  std::function<http::EntryAnswer(const core::DataCentreId&)> entry_answer;
  /// Told once that a drain has begun.
  std::function<void()> drain_started;
  /// Told of each duration worth a histogram.
  std::function<void(metrics::Series, const core::WorkspaceId&,
                     core::TrafficClass, core::Duration)>
      record_time;
  /// Told once of each request that has ended.
  std::function<void(const RequestEnd&)> request_ended;
  /// Writes one key=value line; without it, to standard error.
  std::function<void(const std::string&)> log;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_HOOKS_H_
