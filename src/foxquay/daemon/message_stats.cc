#include "foxquay/daemon/message_stats.h"

#include <algorithm>
#include <chrono>

namespace foxquay::daemon {

std::string_view MessageKindName(std::size_t kind) noexcept {
  // In the order of schema::PeerMessage.
  static constexpr std::array<std::string_view, kMessageKinds> kNames = {
      "consensus",     "config_poll",      "config_reply",
      "roster_poll",   "roster_reply",     "propose_request",
      "propose_reply", "in_force_request", "in_force_reply",
      "host_report",   "host_list",        "upstream_doubts",
      "follower_poll", "follower_reply",   "quarantine_report",
      "limit_report",  "limit_grant",      "heard_hosts"};
  return kNames.at(kind);
}

void MessageStats::RecordSent(std::size_t kind, std::size_t bytes) {
  MessageCount& count = sent_.at(kind);
  ++count.messages;
  count.bytes += bytes;
}

void MessageStats::RecordReceived(std::size_t kind, std::size_t bytes,
                                  core::Duration time) {
  MessageCount& count = received_.at(kind);
  ++count.messages;
  count.bytes += bytes;
  RecordTime(kind, time);
}

void MessageStats::RecordTime(std::size_t kind, core::Duration time) {
  received_.at(kind).handled += time;
  if (time <= longest_) return;
  longest_ = time;
  longest_kind_ = kind;
}

void MessageStats::RecordDelay(core::Duration delay) {
  delay_ = std::max(delay_, delay);
}

void MessageStats::Reset() { *this = MessageStats(); }

std::string FormatCounts(const MessageStats::Counts& counts) {
  std::string text;
  for (std::size_t kind = 0; kind < counts.size(); ++kind) {
    const MessageCount& count = counts.at(kind);
    if (count.messages == 0) continue;
    if (!text.empty()) text += ',';
    text +=
        std::string(MessageKindName(kind)) + ":" +
        std::to_string(count.messages) + "/" + std::to_string(count.bytes) +
        "/" +
        std::to_string(
            std::chrono::duration_cast<std::chrono::microseconds>(count.handled)
                .count());
  }
  return text;
}

}  // namespace foxquay::daemon
