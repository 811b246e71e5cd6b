#ifndef FOXQUAY_SCHEDULING_FAIR_QUEUE_H_
#define FOXQUAY_SCHEDULING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/scheduling/fair_order.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Weights of a workspace among workspaces and of a class within it.
struct Weights {
  std::int64_t workspace = 100;
  std::int64_t traffic_class = 100;
};

/// A leg that waits for service.
struct Ticket {
  core::RequestId request;
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  core::Duration cost = core::Duration::zero();  ///< Estimated service time.
  core::Instant deadline;  ///< Earlier ones are served first within a class.
};

/// End of its flow at which a leg is queued.
enum class QueueEnd : std::uint8_t {
  kBack,   ///< New and continued requests.
  kFront,  ///< Legs that resume after a failure.
};

/// Decision on the first leg of a flow.
enum class Verdict : std::uint8_t {
  kTake,  ///< It runs now.
  kSkip,  ///< It cannot run now, but legs of other flows may.
  kStop,  ///< No leg of the queue can run now.
};

/// Queue of one pool that divides service time by weight among workspaces, and
/// among the classes of each workspace.
///
/// Workspaces and classes are ordered by start-time fair queueing on the
/// estimated service time of legs; legs of one class (a flow) by deadline, then
/// first in, first out. Complete corrects the estimates. Not thread-safe.
class FairQueue {
 public:
  FairQueue();

  /// Queues a leg.
  ///
  /// Precondition: its request has no waiting leg and its cost is not negative.
  void Push(const Ticket& ticket, const Weights& weights,
            QueueEnd end = QueueEnd::kBack);

  /// Removes the waiting leg of a request; returns false if it has none.
  bool Remove(core::RequestId request);

  /// Removes the next leg that `decide` takes, charges its cost and returns it,
  /// or nothing if none is taken.
  ///
  /// `decide` is called with the first leg of each flow at most once, in fair
  /// order. The caller must call Complete when the returned leg ends.
  [[nodiscard]] std::optional<Ticket> Take(
      const std::function<Verdict(const Ticket&)>& decide);

  /// Ends the service of a taken leg and replaces its estimated cost with the
  /// actual one.
  ///
  /// Precondition: `ticket` was returned by Take and is not complete yet.
  void Complete(const Ticket& ticket, core::Duration actual);

  /// Returns whether a flow has a waiting leg.
  [[nodiscard]] bool Backlogged(const core::WorkspaceId& workspace,
                                core::TrafficClass traffic_class) const;
  /// Returns whether a request has a waiting leg.
  [[nodiscard]] bool Contains(core::RequestId request) const;
  /// Returns the number of waiting legs.
  [[nodiscard]] std::size_t size() const noexcept { return positions_.size(); }
  /// Returns the number of legs that were taken and are not complete.
  [[nodiscard]] std::size_t running() const noexcept { return running_; }
  /// Returns the number of workspaces whose state is kept.
  [[nodiscard]] std::size_t Workspaces() const noexcept {
    return workspaces_.size();
  }

 private:
  /// Position in a flow: resumed legs first, then by deadline, then in the
  /// order of Push.
  using OrderKey = std::tuple<bool, core::Instant, std::int64_t>;
  using Flow = std::map<OrderKey, Ticket>;

  struct Workspace {
    internal::FairOrder<core::TrafficClass> class_order{2};
    std::map<core::TrafficClass, Flow> flows;
  };

  /// Where the waiting leg of a request is kept.
  struct Position {
    core::WorkspaceId workspace;
    core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
    OrderKey key;
  };

  /// Erases the workspaces whose state `workspace_order_` no longer keeps.
  void EvictIdleWorkspaces();
  /// Removes and returns a waiting leg.
  Ticket Extract(Workspace& workspace, core::TrafficClass traffic_class,
                 const OrderKey& key);

  internal::FairOrder<core::WorkspaceId> workspace_order_;
  std::map<core::WorkspaceId, Workspace> workspaces_;
  std::unordered_map<core::RequestId, Position> positions_;
  std::size_t running_ = 0;
  std::int64_t last_sequence_ = 0;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_FAIR_QUEUE_H_
