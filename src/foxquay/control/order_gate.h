#ifndef FOXQUAY_CONTROL_ORDER_GATE_H_
#define FOXQUAY_CONTROL_ORDER_GATE_H_

#include <cstdint>
#include <optional>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Permission to send one order.
struct OrderPermit {
  std::uint64_t epoch = 0;   ///< Fencing epoch that the order carries.
  core::Instant deadline{};  ///< Time by which the order must be delivered.

  friend bool operator==(const OrderPermit&, const OrderPermit&) = default;
};

/// Decides whether a host may send orders to one upstream.
///
/// All times are on the monotonic clock of this host, so that the decision
/// depends neither on wall clocks nor on changes of leader. A holder's grant
/// starts when the holder sent its request. A new holder waits for the full
/// length of the previous grant from when it received its own grant, which is
/// later than the start of the previous one. Not thread-safe.
class OrderGate {
 public:
  /// `host` and `incarnation` identify this host. `checks_fencing` states
  /// whether the upstream refuses orders with an older fencing epoch than it
  /// has seen; if so, a new holder need not wait.
  OrderGate(core::HostId host, std::uint64_t incarnation, bool checks_fencing);

  /// Applies the result, received at `now`, of a request for a grant that was
  /// first sent at `requested`. Results may arrive late or more than once.
  void HandleResult(const schema::FencingResult& result,
                    core::Instant requested, core::Instant now);

  /// Returns the permission to send an order at `now`, or nothing if sending is
  /// not allowed. Precondition: `now` is read immediately before the order is
  /// written.
  [[nodiscard]] std::optional<OrderPermit> Check(core::Instant now) const;

  /// Returns the time from which orders may be sent, or nothing if this host
  /// holds no grant.
  [[nodiscard]] std::optional<core::Instant> ReadyAt() const noexcept;

 private:
  core::HostId host_;
  std::uint64_t incarnation_;
  bool checks_fencing_;
  std::uint64_t epoch_ = 0;  ///< Latest known epoch of any holder.
  bool held_ = false;        ///< Whether this incarnation holds epoch_.
  /// Latest epoch of another holder whose grant has ended by ready_at_.
  std::uint64_t awaited_epoch_ = 0;
  core::Instant ready_at_{};
  core::Instant grant_end_{};
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_ORDER_GATE_H_
