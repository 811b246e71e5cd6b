#include "foxquay/roster/feed_stats.h"

namespace foxquay::roster {

std::string_view Name(UpdateReason reason) noexcept {
  static constexpr std::array<std::string_view, kUpdateReasons> kNames = {
      "changes", "unknown", "restarted", "erased"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view Name(FeedChange change) noexcept {
  static constexpr std::array<std::string_view, kFeedChanges> kNames = {
      "upstream_new", "upstream_changed", "upstream_left",
      "host_new",     "host_changed",     "host_silent"};
  return kNames.at(static_cast<std::size_t>(change));
}

std::string FormatUpdates(const FeedStats& stats) {
  std::string text;
  for (std::size_t index = 0; index < kUpdateReasons; ++index) {
    const UpdateCount& count = stats.updates.at(index);
    if (count.updates == 0) continue;
    if (!text.empty()) text += ',';
    text += std::string(Name(static_cast<UpdateReason>(index))) + ":" +
            std::to_string(count.updates) + "/" +
            std::to_string(count.upstreams) + "/" + std::to_string(count.hosts);
  }
  return text;
}

std::string FormatChanges(const FeedStats& stats) {
  std::string text;
  for (std::size_t index = 0; index < kFeedChanges; ++index) {
    const std::uint64_t count = stats.changes.at(index);
    if (count == 0) continue;
    if (!text.empty()) text += ',';
    text += std::string(Name(static_cast<FeedChange>(index))) + ":" +
            std::to_string(count);
  }
  return text;
}

}  // namespace foxquay::roster
