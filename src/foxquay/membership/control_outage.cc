#include "foxquay/membership/control_outage.h"

#include <algorithm>
#include <functional>

namespace foxquay::membership {

void ControlOutage::SetControls(const std::vector<core::HostId>& controls) {
  std::erase_if(controls_, [&controls](const auto& item) {
    return std::find(controls.begin(), controls.end(), item.first) ==
           controls.end();
  });
  for (const core::HostId& control : controls) controls_.try_emplace(control);
}

void ControlOutage::RecordRefusal(const core::HostId& control,
                                  core::Instant now) {
  const auto found = controls_.find(control);
  if (found != controls_.end()) found->second = now;
}

void ControlOutage::RecordReply(const core::HostId& control,
                                std::optional<core::Duration> age,
                                core::Instant now) {
  if (!age || *age >= kLeaderlessAge) RecordRefusal(control, now);
}

std::optional<core::Instant> ControlOutage::AsOf() const {
  std::vector<core::Instant> seen;
  for (const auto& [control, at] : controls_) {
    if (at) seen.push_back(*at);
  }
  const std::size_t majority = controls_.size() / 2 + 1;
  if (seen.size() < majority) return std::nullopt;
  std::sort(seen.begin(), seen.end(), std::greater<>());
  return seen[majority - 1];
}

}  // namespace foxquay::membership
