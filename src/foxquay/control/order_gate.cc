#include "foxquay/control/order_gate.h"

#include <algorithm>
#include <utility>

#include "foxquay/control/clock.h"

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
  end_ = requested + result.length;
  if (result.previous_epoch <= awaited_) return;
  awaited_ = result.previous_epoch;
  // The delivery time runs on the old holder's clock too.
  ready_ = std::max(ready_, now + core::WithClockError(result.previous_length +
                                                       kOrderDelivery));
}

std::optional<OrderPermit> OrderGate::Check(core::Instant now) const {
  if (!held_ || now >= end_) return std::nullopt;
  if (!checks_fencing_ && now < ready_) return std::nullopt;
  return OrderPermit{epoch_, now + kOrderDelivery};
}

std::optional<core::Instant> OrderGate::ReadyAt() const noexcept {
  if (!held_) return std::nullopt;
  return checks_fencing_ ? core::Instant{} : ready_;
}

}  // namespace foxquay::control
