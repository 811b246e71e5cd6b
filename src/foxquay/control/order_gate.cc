#include "foxquay/control/order_gate.h"

#include <algorithm>
#include <utility>

#include "foxquay/control/timing.h"

namespace foxquay::control {

OrderGate::OrderGate(core::HostId host, std::uint64_t incarnation,
                     bool checks_fencing)
    : host_(std::move(host)),
      incarnation_(incarnation),
      checks_fencing_(checks_fencing) {}

void OrderGate::HandleResult(const schema::FencingResult& result,
                             core::Instant requested, core::Instant now) {
  if (result.epoch <= epoch_) return;
  epoch_ = result.epoch;
  held_ = result.status == schema::FencingStatus::kGranted &&
          result.holder == host_ && result.incarnation == incarnation_;
  if (!held_) return;
  grant_end_ = requested + result.length;
  if (result.previous_epoch <= awaited_epoch_) return;
  awaited_epoch_ = result.previous_epoch;
  // The delivery timeout is measured on the previous holder's clock as well, so
  // the clock error applies to it too.
  ready_at_ =
      std::max(ready_at_, now + core::WithClockError(result.previous_length +
                                                     kOrderDeliveryTimeout));
}

std::optional<OrderPermit> OrderGate::Check(core::Instant now) const {
  if (!held_ || now >= grant_end_) return std::nullopt;
  if (!checks_fencing_ && now < ready_at_) return std::nullopt;
  return OrderPermit{epoch_, now + kOrderDeliveryTimeout};
}

std::optional<core::Instant> OrderGate::ReadyAt() const noexcept {
  if (!held_) return std::nullopt;
  return checks_fencing_ ? core::Instant{} : ready_at_;
}

}  // namespace foxquay::control
