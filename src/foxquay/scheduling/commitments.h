#ifndef FOXQUAY_SCHEDULING_COMMITMENTS_H_
#define FOXQUAY_SCHEDULING_COMMITMENTS_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/lru_map.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/scheduling/fair_queue.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/service_rate.h"

namespace foxquay::scheduling {

/// Work that an admitted request still needs.
struct Commitment {
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  Weights weights;
  /// Expected service time of its remaining legs.
  core::Duration remaining_service{};
  /// Latest time at which it must start to meet its deadline if its answer is
  /// as long as allowed.
  core::Instant latest_start;
};

/// Outstanding work of the requests that a pool has admitted.
///
/// The queue holds only the next leg of each request, but whether a further
/// request fits depends on all legs to come. A flow is the work of one class of
/// one workspace. Not thread-safe.
class Commitments {
 public:
  /// Sets or replaces the commitment to a request.
  void Set(core::RequestId request, const Commitment& commitment);
  /// Removes the commitment to a request, if there is one.
  void Erase(core::RequestId request);

  /// Records whether legs of a flow are waiting from `now` on.
  void SetBacklogged(const core::WorkspaceId& workspace,
                     core::TrafficClass traffic_class, bool backlogged,
                     core::Instant now);
  /// Adds the service time of a completed leg of a flow.
  void AddServed(const core::WorkspaceId& workspace,
                 core::TrafficClass traffic_class, core::Duration service,
                 core::Instant now);

  /// Returns the estimated time until a new request starts: until the requests
  /// of its flow that must start no later are served. The pool runs `slots`
  /// legs at once.
  [[nodiscard]] core::Duration Wait(const Commitment& candidate,
                                    double slots) const;

  /// Returns whether the requests of its flow that may start later than a new
  /// request still start in time if it is admitted. Checks a sample of them.
  [[nodiscard]] bool Fits(const Commitment& candidate, core::Instant now,
                          double slots) const;

  /// Returns the time to serve all outstanding work on `slots` slots.
  [[nodiscard]] core::Duration DrainTime(double slots) const;

  /// Returns the number of requests with a commitment.
  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

 private:
  using Key = std::pair<core::Instant, core::RequestId>;
  struct Flow {
    /// Remaining service time of each request, by latest start.
    std::map<Key, core::Duration> work;
    core::Duration total_work{};
    std::int64_t weight = 100;
  };
  /// Where the commitment to a request is kept.
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

  /// Returns the work that the pool serves until `own_work` of the candidate's
  /// flow is done, if flows are served by their weights and nothing arrives.
  [[nodiscard]] core::Duration WorkUntilServed(const Commitment& candidate,
                                               core::Duration own_work) const;
  /// Returns the time until `own_work` of the candidate's flow is done,
  /// corrected by the rate at which the flow was served lately.
  [[nodiscard]] core::Duration TimeUntilServed(const Commitment& candidate,
                                               core::Duration own_work,
                                               double slots) const;
  /// Returns the flow of a commitment, or null if it has no outstanding work.
  [[nodiscard]] const Flow* FindFlow(const Commitment& candidate) const;

  std::map<core::WorkspaceId, Workspace> workspaces_;
  std::unordered_map<core::RequestId, Location> requests_;
  core::Duration total_work_{};
  std::int64_t total_weight_ = 0;  ///< Of all workspaces with commitments.
  core::LruMap<FlowId, ServiceRate> service_rates_{2 * kMaxWorkspaces};
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_COMMITMENTS_H_
