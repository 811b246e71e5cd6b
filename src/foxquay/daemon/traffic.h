#ifndef FOXQUAY_DAEMON_TRAFFIC_H_
#define FOXQUAY_DAEMON_TRAFFIC_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/daemon/hooks.h"
#include "foxquay/daemon/result_channel.h"
#include "foxquay/daemon/worker_pool.h"
#include "foxquay/dispatch/engine.h"
#include "foxquay/http/client.h"
#include "foxquay/http/server.h"
#include "foxquay/schema/policy.h"

namespace foxquay::daemon {

/// A request that is submitted to Traffic.
struct IncomingRequest {
  dispatch::Submission submission;  ///< Its id is assigned by Traffic.
  http::ServiceSend service;        ///< Set for service calls.
  std::string digest;               ///< SHA-256 of the request, as hex.
  http::Connection connection;      ///< Connection of the caller.
};

/// Access of a caller's thread to its submitted request.
struct RequestHandle {
  core::RequestId id;
  ResultChannel* channel = nullptr;  ///< Valid until Traffic::Close(id).
};

/// Runs requests: passes events to one dispatch engine and executes the actions
/// that it returns. Thread-safe.
///
/// The engine's mutex is held while it handles an event and while results are
/// stored for waiting threads, never during I/O.
class Traffic {
 public:
  /// @param request_prefix Prefix of the request names that upstreams see; must
  /// differ between hosts and between restarts of one host.
  /// @param hooks Must outlive this object.
  Traffic(const dispatch::EngineOptions& options, std::string request_prefix,
          const ControlHooks& hooks);
  /// Blocks until running legs and service calls have ended.
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Submits a request. The thread that submits it must call Close in the end.
  [[nodiscard]] RequestHandle Submit(IncomingRequest&& request);
  /// Releases a request and its channel; cancels it if it has not finished.
  void Close(core::RequestId id);
  /// Cancels requests whose callers have disconnected or have not read for 10
  /// s.
  void CancelAbandonedRequests();

  /// Replaces the usable upstreams.
  void SetUpstreams(std::vector<schema::Announcement> upstreams);
  /// Replaces the policy in force.
  void SetPolicy(dispatch::PolicyChanged policy);
  /// Opens or closes admission, e.g. by the configuration lease.
  void SetAdmission(dispatch::AdmissionChanged admission);
  /// Answers ControlHooks::request_claim.
  void DecideClaim(dispatch::ClaimDecided decision);
  /// Closes admission permanently; SetAdmission has no effect afterwards.
  void CloseAdmission(const std::string& reason);

  /// Returns the value of a policy key that is in force on this host, in the
  /// unit of the key.
  [[nodiscard]] std::int64_t Policy(schema::PolicyKey key) const;
  /// Returns whether any upstream has announced the model or service.
  [[nodiscard]] bool WasAnnounced(const core::ModelId& model) const;
  [[nodiscard]] bool WasAnnounced(const core::ServiceId& service) const;
  /// Returns the free fraction of the capacity, from 0 to 1.
  [[nodiscard]] double FreeCapacity() const;
  /// Returns the names of the requests that have a caller or a running call.
  [[nodiscard]] std::vector<std::string> OpenRequests() const;

 private:
  struct RequestState;
  struct Leg;
  struct DeferredActions;
  class ActionExecutor;

  void HandleEvent(dispatch::Event event);
  void Apply(dispatch::Event event, DeferredActions& deferred);
  void Execute(DeferredActions&& deferred);
  [[nodiscard]] ResultChannel* AcquireChannel();
  void RunLeg(const dispatch::StartLeg& leg, const std::string& name);
  void RunCall(core::LegId leg, core::RequestId request,
               const http::ServiceSend& call, bool claimed);
  bool AcceptToken(core::LegId leg, http::TokenLine&& line);
  void RunTimer();

  [[nodiscard]] std::string NameOf(core::RequestId id) const;

  const std::string request_prefix_;
  const core::HostId host_;
  const ControlHooks& hooks_;
  mutable std::mutex mutex_;
  dispatch::Engine engine_;
  std::uint64_t next_request_ = 1;
  std::unordered_map<core::RequestId, RequestState> requests_;
  /// Channels outlive their requests and are reused, so that a thread may call
  /// Wake on one after it has released the mutex.
  std::deque<ResultChannel> channels_;
  std::vector<ResultChannel*> idle_channels_;
  std::unordered_map<core::LegId, Leg> legs_;
  dispatch::PolicyChanged policy_;
  std::set<core::ModelId> models_;
  std::set<core::ServiceId> services_;
  bool closed_ = false;
  bool stopping_ = false;
  core::Instant timer_wakeup_{};
  std::condition_variable timer_condition_;
  std::thread timer_;
  std::unique_ptr<WorkerPool> pool_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_TRAFFIC_H_
