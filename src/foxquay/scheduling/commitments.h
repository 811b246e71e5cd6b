#ifndef FOXQUAY_SCHEDULING_COMMITMENTS_H_
#define FOXQUAY_SCHEDULING_COMMITMENTS_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/scheduling/fair_queue.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/lru_map.h"
#include "foxquay/scheduling/service_rate.h"

namespace foxquay::scheduling {

/// The rest of an admitted request.
struct Commitment {
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  Weights weights;
  /// Expected service time that it still needs.
  core::Duration remaining_service{};
  /// Its deadline less the time that it needs if its answer is as long as
  /// allowed.
  core::Instant latest_start;
};

/// What a pool owes to the requests that it has admitted.
///
/// A queue of legs holds only the next leg of each request; whether a further
/// request fits depends on all legs to come. Not thread-safe.
class Commitments {
 public:
  /// Sets or replaces the commitment to a request.
  void Set(core::RequestId request, const Commitment& commitment);
  /// Ends the commitment to a request, if there is one.
  void Erase(core::RequestId request);

  /// Notes whether legs of a flow wait from `now` on.
  void SetBacklogged(const core::WorkspaceId& workspace,
                     core::TrafficClass traffic_class, bool backlogged,
                     core::Instant now);
  /// Adds a completed leg.
  void AddServed(const core::WorkspaceId& workspace,
                 core::TrafficClass traffic_class, core::Duration service,
                 core::Instant now);

  /// Returns the estimated wait of a new request on `slots` slots for the
  /// requests of its flow that must start before it.
  [[nodiscard]] core::Duration Wait(const Commitment& candidate,
                                    double slots) const;

  /// Returns whether a new request, once admitted, leaves enough time for the
  /// requests of its flow that may start later.
  [[nodiscard]] bool Fits(const Commitment& candidate, core::Instant now,
                          double slots) const;

  /// Returns the time to serve all that is owed.
  [[nodiscard]] core::Duration DrainTime(double slots) const;

  /// Returns the number of requests.
  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

 private:
  using Key = std::pair<core::Instant, core::RequestId>;
  struct Flow {
    std::map<Key, core::Duration> work;
    core::Duration total_work{};
    std::int64_t weight = 100;
  };
  struct Location {
    core::WorkspaceId workspace;
    core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
    core::Instant latest_start;
  };
  struct Workspace {
    std::map<core::TrafficClass, Flow> flows;
    core::Duration total_work{};
    std::int64_t weight = 0;
  };

  using FlowId = std::pair<core::WorkspaceId, core::TrafficClass>;

  /// Returns the work served until `own_work` work of a flow is done, if flows
  /// are served by their shares and nothing arrives.
  [[nodiscard]] core::Duration WorkUntilServed(const Commitment& candidate,
                                               core::Duration own_work) const;
  /// Returns the time until `own_work` work of a flow is done.
  [[nodiscard]] core::Duration TimeUntilServed(const Commitment& candidate,
                                               core::Duration own_work,
                                               double slots) const;
  [[nodiscard]] const Flow* FindFlow(const Commitment& candidate) const;

  std::map<core::WorkspaceId, Workspace> workspaces_;
  std::unordered_map<core::RequestId, Location> requests_;
  core::Duration total_work_{};
  std::int64_t total_weight_ = 0;  ///< Of all workspaces with commitments.
  internal::LruMap<FlowId, ServiceRate> service_rates_{2 * kMaxWorkspaces};
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_COMMITMENTS_H_
