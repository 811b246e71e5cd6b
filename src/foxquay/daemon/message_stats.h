#ifndef FOXQUAY_DAEMON_MESSAGE_STATS_H_
#define FOXQUAY_DAEMON_MESSAGE_STATS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "foxquay/core/time.h"
#include "foxquay/schema/peer.h"

namespace foxquay::daemon {

/// Number of kinds of messages between hosts.
inline constexpr std::size_t kMessageKinds =
    std::variant_size_v<schema::PeerMessage>;

/// Returns the name of a kind of message as used in logs and metrics.
/// Precondition: `kind` is an index of schema::PeerMessage. Thread-safe.
[[nodiscard]] std::string_view MessageKindName(std::size_t kind) noexcept;

/// Returns the number of a kind of message. Thread-safe.
template <class Message>
[[nodiscard]] std::size_t MessageKind() {
  return schema::PeerMessage(Message()).index();
}

/// Messages of one kind in one direction since the last reset.
struct MessageCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  core::Duration handled{};  ///< Time in their handlers; 0 if sent.
};

/// Counts the messages between hosts by kind and measures for how long they
/// hold the control thread.
///
/// Not thread-safe; performs no I/O.
class MessageStats {
 public:
  using Counts = std::array<MessageCount, kMessageKinds>;

  void RecordSent(std::size_t kind, std::size_t bytes);
  /// Records a message that was handled within `time`.
  void RecordReceived(std::size_t kind, std::size_t bytes, core::Duration time);
  /// Records work on a message that was received before.
  void RecordTime(std::size_t kind, core::Duration time);
  /// Records by how much a timer of the control thread fired too late.
  void RecordDelay(core::Duration delay);
  /// Starts a new period.
  void Reset();

  [[nodiscard]] const Counts& sent() const noexcept { return sent_; }
  [[nodiscard]] const Counts& received() const noexcept { return received_; }
  /// Returns the longest time for which one message held the thread.
  [[nodiscard]] core::Duration longest() const noexcept { return longest_; }
  /// Returns the kind of that message.
  [[nodiscard]] std::size_t longest_kind() const noexcept {
    return longest_kind_;
  }
  /// Returns the largest delay of a timer.
  [[nodiscard]] core::Duration delay() const noexcept { return delay_; }

 private:
  Counts sent_{};
  Counts received_{};
  core::Duration longest_{};
  std::size_t longest_kind_ = 0;
  core::Duration delay_{};
};

/// Formats counts as `KIND:MESSAGES/BYTES/MICROSECONDS`, separated by commas;
/// kinds without a message are left out.
[[nodiscard]] std::string FormatCounts(const MessageStats::Counts& counts);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_MESSAGE_STATS_H_
