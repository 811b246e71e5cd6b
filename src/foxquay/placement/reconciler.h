#ifndef FOXQUAY_PLACEMENT_RECONCILER_H_
#define FOXQUAY_PLACEMENT_RECONCILER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/plan.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// Time between becoming leader, or first hearing of upstreams, and the first
/// orders: every upstream announces itself at least once within it.
inline constexpr core::Duration kSettleTime = std::chrono::milliseconds(2500);

/// Time after which an order without an answer, or without effect, is looked
/// into.
inline constexpr core::Duration kOrderTimeout = std::chrono::milliseconds(1500);

/// Tells an upstream which layers to hold.
struct Order {
  core::UpstreamId upstream;
  std::string address;
  Range layers;
  std::uint64_t fence = 0;     ///< Term of the leader that gives it.
  std::uint64_t expected = 0;  ///< Orders that the upstream has accepted.
  /// Whether requests on layers that it gives up are cut off; else it takes
  /// nothing new there until they have ended.
  bool cut = false;
};

/// Asks an upstream for its state.
struct Inquiry {
  core::UpstreamId upstream;
  std::string address;
};

using Action = std::variant<Order, Inquiry>;

/// How an upstream answered an order.
enum class OrderOutcome : std::uint8_t {
  kAccepted,    ///< It has begun or holds the layers already.
  kMismatch,    ///< Its state or its count of orders differs.
  kFenced,      ///< It has seen a higher fence.
  kRefused,     ///< It does not know such an order or is another upstream.
  kUnanswered,  ///< It may have been accepted, or be carried out later.
};

/// What an upstream says of itself when asked.
struct Report {
  std::uint64_t orders = 0;  ///< Orders that it has accepted.
  Range layers;
  bool busy = false;  ///< Whether an order is in progress.
};

/// Gives the orders that place the layers of one service's model.
///
/// One leader gives orders; its term is the fence, and each order states how
/// many the upstream has accepted, so that an order that arrives late does
/// nothing. Not thread-safe; performs no I/O.
class Reconciler {
 public:
  /// Starts or stops giving orders, e.g. with the leadership of the log.
  void SetLeadership(bool leads, std::uint64_t term, core::Instant now);

  /// Takes the model upstreams in use and the engine that they run.
  void SetUpstreams(const std::vector<schema::Announcement>& upstreams,
                    const std::optional<schema::Engine>& engine,
                    core::Instant now);

  void HandleOrderOutcome(const core::UpstreamId& upstream,
                          OrderOutcome outcome, core::Instant now);
  /// Takes the answer to an inquiry; nothing if there was none.
  void HandleReport(const core::UpstreamId& upstream,
                    const std::optional<Report>& report, core::Instant now);

  /// Returns what to send now. Called at least each 200 ms.
  [[nodiscard]] std::vector<Action> Tick(core::Instant now);

 private:
  struct UpstreamState {
    schema::Announcement announcement;
    std::uint64_t accepted_orders = 0;  ///< Orders that it has accepted.
    std::optional<Range> target;        ///< Ordered and not yet announced.
    core::Instant target_deadline;  ///< When the target should be announced.
    bool inquiry_sent = false;
    bool order_sent = false;  ///< For the answer to an order.
    /// Whether it was asked how many orders it has accepted from leaders before
    /// this one.
    bool order_count_requested = true;
    core::Instant backoff;  ///< No order before this.
  };

  [[nodiscard]] std::vector<ModelUpstream> CurrentPlacement() const;
  void RequestOrderCounts(std::vector<Action>& actions);
  void InquireOverdueTargets(core::Instant now, std::vector<Action>& actions);
  [[nodiscard]] core::Duration LoadTime(std::uint32_t layers) const;

  bool leads_ = false;
  std::uint64_t term_ = 0;
  std::optional<core::Instant> first_order_at_;
  std::optional<schema::Engine> engine_;
  std::map<core::UpstreamId, UpstreamState> upstreams_;
};

/// Returns the layers that an announcement states. Thread-safe.
[[nodiscard]] Range HeldLayers(const schema::Announcement& announcement);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_RECONCILER_H_
