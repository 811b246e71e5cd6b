#include "foxquay/membership/control_outage.h"

#include <algorithm>
#include <functional>

namespace foxquay::membership {
namespace internal {

/// Returns the oldest of the `count` newest times if they lie within
/// kOutageSpan.
std::optional<core::Instant> OldestOf(std::vector<core::Instant> times,
                                      std::size_t count) {
  if (count == 0 || times.size() < count) return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  const core::Instant oldest = times[count - 1];
  if (times.front() - oldest > kOutageSpan) return std::nullopt;
  return oldest;
}

}  // namespace internal

void ControlOutage::SetControls(const std::vector<core::HostId>& controls,
                                std::size_t tolerated_losses) {
  std::erase_if(controls_, [&controls](const auto& item) {
    return std::find(controls.begin(), controls.end(), item.first) ==
           controls.end();
  });
  for (const core::HostId& control : controls) controls_.try_emplace(control);
  tolerated_losses_ = tolerated_losses;
}

void ControlOutage::RecordRefusal(const core::HostId& control,
                                  core::Instant now) {
  const auto found = controls_.find(control);
  if (found != controls_.end()) found->second = Evidence{now, true};
}

void ControlOutage::RecordStart(const core::HostId& control,
                                core::Instant now) {
  const auto found = controls_.find(control);
  if (found != controls_.end()) found->second = Evidence{now, false};
}

void ControlOutage::RecordReply(const core::HostId& control) {
  const auto found = controls_.find(control);
  if (found != controls_.end()) found->second.reset();
}

void ControlOutage::Clear() {
  for (auto& [control, evidence] : controls_) evidence.reset();
}

std::optional<core::Instant> ControlOutage::ConfigurationAsOf() const {
  std::vector<core::Instant> times;
  for (const auto& [control, evidence] : controls_) {
    if (evidence) times.push_back(evidence->at);
  }
  // A quorum has one host more than may be lost, whichever of them vote.
  const std::size_t needed =
      controls_.size() - std::min(controls_.size(), tolerated_losses_);
  return internal::OldestOf(std::move(times), needed);
}

std::optional<core::Instant> ControlOutage::UpstreamsAsOf() const {
  std::vector<core::Instant> times;
  for (const auto& [control, evidence] : controls_) {
    if (evidence && evidence->refused) times.push_back(evidence->at);
  }
  return internal::OldestOf(std::move(times), controls_.size());
}

}  // namespace foxquay::membership
