#ifndef FOXQUAY_CONTROL_ORDER_GATE_H_
#define FOXQUAY_CONTROL_ORDER_GATE_H_

#include <cstdint>
#include <optional>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Permission to send one order now.
struct OrderPermit {
  std::uint64_t epoch = 0;   ///< Fencing number that the order carries.
  core::Instant deadline{};  ///< Until when the order must be delivered.

  friend bool operator==(const OrderPermit&, const OrderPermit&) = default;
};

/// Decides whether a host may send an order to one upstream now.
///
/// All times are on this host's monotonic clock, so that neither wall clocks
/// nor a change of leader matter: a holder counts its grant from the sending of
/// its request, and a new holder counts the old grant's full length from when
/// it learned of its own grant, which is later. Not thread-safe.
class OrderGate {
 public:
  /// `checks_fencing` is whether the upstream refuses old fencing numbers.
  OrderGate(core::HostId host, std::uint64_t incarnation, bool checks_fencing);

  /// Applies the result of a request for a grant that was first sent at
  /// `requested` and learned of at `now`. Results may repeat or come late.
  void HandleResult(const schema::FencingResult& result,
                    core::Instant requested, core::Instant now);

  /// Returns the permission to send an order at `now`, or nothing. `now` must
  /// be read immediately before the order is written.
  [[nodiscard]] std::optional<OrderPermit> Check(core::Instant now) const;

  /// Returns when orders may be sent, if a grant is held.
  [[nodiscard]] std::optional<core::Instant> ReadyAt() const noexcept;

 private:
  core::HostId host_;
  std::uint64_t incarnation_;
  bool checks_fencing_;
  std::uint64_t epoch_ = 0;  ///< Newest epoch known, whoever holds it.
  bool held_ = false;        ///< Whether the newest epoch is this host's.
  std::uint64_t awaited_epoch_ =
      0;  ///< Newest foreign epoch that ready_at_ covers.
  core::Instant ready_at_{};
  core::Instant grant_end_{};
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_ORDER_GATE_H_
