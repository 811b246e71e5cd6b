#ifndef FOXQUAY_PLACEMENT_RECONCILER_H_
#define FOXQUAY_PLACEMENT_RECONCILER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/capacity.h"
#include "foxquay/placement/plan.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// Delay between becoming leader, or receiving the first engine, and the first
/// orders. Every upstream announces itself at least once within it.
inline constexpr core::Duration kSettleTime = std::chrono::milliseconds(2500);

/// While no upstream holds layers, the first orders also wait until no upstream
/// has been added for this long: upstreams that start together announce
/// themselves within shorter gaps, and one that comes later is only added to
/// the copies that the others hold.
inline constexpr core::Duration kQuietTime = std::chrono::milliseconds(1000);

/// Longest time by which kQuietTime delays the first orders. Upstreams that are
/// started one after the other for longer are placed as they come.
inline constexpr core::Duration kMaxQuietDelay =
    std::chrono::milliseconds(3000);

/// Time after which an order without an answer or without effect is followed by
/// an inquiry.
inline constexpr core::Duration kOrderTimeout = std::chrono::milliseconds(1500);

/// Orders an upstream to hold a range of layers.
struct Order {
  core::UpstreamId upstream;
  std::string address;
  Range layers;
  std::uint64_t fence = 0;     ///< Term of the leader that sends the order.
  std::uint64_t expected = 0;  ///< Number of orders accepted by the upstream.
  /// Whether the upstream aborts the requests on layers that it gives up. If
  /// not, it accepts no new requests there until the running ones have ended.
  bool cut = false;
};

/// Asks an upstream to report its state.
struct Inquiry {
  core::UpstreamId upstream;
  std::string address;
};

using Action = std::variant<Order, Inquiry>;

/// Result of an order.
enum class OrderOutcome : std::uint8_t {
  kAccepted,    ///< Loading has begun, or the layers are already held.
  kMismatch,    ///< The state or the number of orders differs.
  kFenced,      ///< The upstream has seen a higher fence.
  kRefused,     ///< Unsupported order, or another upstream answered.
  kUnanswered,  ///< It may have been accepted or may take effect later.
};

/// State that an upstream reports in answer to an Inquiry.
struct Report {
  std::uint64_t orders = 0;  ///< Number of orders that it has accepted.
  Range layers;              ///< Empty if it holds none.
  bool busy = false;         ///< Whether an order is in progress.
};

/// Places the layers of one service's model: compares the plan with the state
/// of the upstreams and returns the orders that bring them into line.
///
/// Only the leader sends orders, with its term as the fence. Each order also
/// states how many orders the upstream has accepted so far, so that a delayed
/// order has no effect. Not thread-safe; performs no I/O.
class Reconciler {
 public:
  /// Starts or stops sending orders, when this host gains or loses leadership
  /// of the replicated log. `term` is the term of that leadership.
  void SetLeadership(bool leads, std::uint64_t term, core::Instant now);

  /// Replaces the model upstreams in use and the engine that they run. Without
  /// an engine no orders are sent.
  void SetUpstreams(const std::vector<schema::Announcement>& upstreams,
                    const std::optional<schema::Engine>& engine,
                    core::Instant now);

  /// Handles the outcome of an order; has no effect for an unknown upstream.
  void HandleOrderOutcome(const core::UpstreamId& upstream,
                          OrderOutcome outcome, core::Instant now);
  /// Handles the answer to an inquiry; `report` is not set if there was none.
  void HandleReport(const core::UpstreamId& upstream,
                    const std::optional<Report>& report, core::Instant now);

  /// Returns the orders and inquiries to send now. Must be called at least
  /// every 200 ms.
  [[nodiscard]] std::vector<Action> Tick(core::Instant now);

  /// Returns what the placement holds once all orders have been carried out, by
  /// data centre; empty without an engine.
  [[nodiscard]] std::vector<CentreCapacity> Measure() const;

 private:
  struct UpstreamState {
    schema::Announcement announcement;
    std::uint64_t accepted_orders = 0;  ///< Known number of accepted orders.
    std::optional<Range> target;        ///< Ordered layers, until announced.
    core::Instant target_deadline;      ///< When to ask about the target.
    bool inquiry_sent = false;          ///< An inquiry awaits its answer.
    bool order_sent = false;            ///< An order awaits its answer.
    /// Whether the upstream has been asked how many orders it accepted from
    /// previous leaders.
    bool order_count_requested = true;
    core::Instant backoff;  ///< No order is sent before this time.
  };

  /// Returns the upstreams with their ordered layers or, without an order, with
  /// the layers that they announced.
  [[nodiscard]] std::vector<ModelUpstream> CurrentPlacement() const;
  /// Returns whether the first orders are due.
  [[nodiscard]] bool Settled(core::Instant now) const;
  /// Returns how many orders are awaited or being carried out in time.
  [[nodiscard]] std::size_t CountLoads(core::Instant now) const;
  /// Returns the assignments of plan_ to order now: all of layers without a
  /// holder in their data centre, and others while fewer than kLoadsAtOnce
  /// loads run.
  [[nodiscard]] std::vector<Assignment> DueAssignments(core::Instant now) const;
  /// Brings plan_ up to date with the current placement and the engine.
  void UpdatePlan();
  /// Asks each upstream once per leadership how many orders it has accepted.
  void RequestOrderCounts(std::vector<Action>& actions);
  /// Asks for the state of upstreams whose target was not announced in time.
  void InquireOverdueTargets(core::Instant now, std::vector<Action>& actions);
  /// Returns the time that loading `layers` layers takes. Precondition: the
  /// engine is set.
  [[nodiscard]] core::Duration LoadTime(std::uint32_t layers) const;

  bool leads_ = false;
  std::uint64_t term_ = 0;
  std::optional<core::Instant> first_order_at_;
  core::Instant last_added_at_;  ///< When an upstream was last added.
  std::optional<schema::Engine> engine_;
  std::map<core::UpstreamId, UpstreamState> upstreams_;
  /// Placement that plan_ starts from; not set if the plan is out of date.
  std::optional<std::vector<ModelUpstream>> planned_;
  std::vector<Assignment> plan_;
};

/// Returns the layers that an announced upstream holds; empty if it holds none
/// or is not a model upstream. Thread-safe.
[[nodiscard]] Range HeldLayers(const schema::Announcement& announcement);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_RECONCILER_H_
