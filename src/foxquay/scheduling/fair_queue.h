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
  core::Instant deadline;  ///< Legs of a class are served by deadline.
};

/// End of its flow at which a ticket joins.
enum class QueueEnd : std::uint8_t {
  kBack,   ///< New and continued requests.
  kFront,  ///< Legs that lost their upstream and resume.
};

/// What to do with the first leg of a flow.
enum class Verdict : std::uint8_t {
  kTake,  ///< It runs.
  kSkip,  ///< It cannot run now, but legs of other flows may.
  kStop,  ///< No leg of the queue can run now.
};

/// Shares one pool among workspaces, then among the classes of a workspace.
///
/// Workspaces and classes are ordered by start-time fair queueing on the
/// estimated service time of legs; legs of one class by deadline, then first
/// in, first out. Complete corrects estimates. Not thread-safe.
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

  /// Takes the next leg that `decide` accepts and charges its cost.
  ///
  /// `decide` sees the first leg of each flow at most once, in fair order.
  /// The taker must call Complete when the leg ends.
  [[nodiscard]] std::optional<Ticket> Take(
      const std::function<Verdict(const Ticket&)>& decide);

  /// Ends the service of a taken leg and replaces its estimated cost with the
  /// actual one.
  void Complete(const Ticket& ticket, core::Duration actual);

  /// Returns whether a flow has a waiting leg.
  [[nodiscard]] bool Backlogged(const core::WorkspaceId& workspace,
                                core::TrafficClass traffic_class) const;
  /// Returns whether a request has a waiting leg.
  [[nodiscard]] bool Contains(core::RequestId request) const;
  /// Returns the number of waiting legs.
  [[nodiscard]] std::size_t size() const noexcept { return positions_.size(); }
  /// Returns the number of legs taken and not complete.
  [[nodiscard]] std::size_t running() const noexcept { return running_; }
  /// Returns the number of workspaces whose state is kept.
  [[nodiscard]] std::size_t Workspaces() const noexcept {
    return workspaces_.size();
  }

 private:
  /// Position in a flow: resumed legs first, then by deadline, then as queued.
  using OrderKey = std::tuple<bool, core::Instant, std::int64_t>;
  using Flow = std::map<OrderKey, Ticket>;

  struct Workspace {
    internal::FairOrder<core::TrafficClass> class_order{2};
    std::map<core::TrafficClass, Flow> flows;
  };

  struct Position {
    core::WorkspaceId workspace;
    core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
    OrderKey key;
  };

  void EvictIdleWorkspaces();
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
