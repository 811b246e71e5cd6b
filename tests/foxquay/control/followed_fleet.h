#ifndef FOXQUAY_TESTS_CONTROL_FOLLOWED_FLEET_H_
#define FOXQUAY_TESTS_CONTROL_FOLLOWED_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/control/content_share.h"
#include "foxquay/control/observer.h"
#include "foxquay/control/state.h"
#include "foxquay/core/time.h"
#include "foxquay/membership/parent_selector.h"

namespace foxquay::control {

struct FollowedFleetOptions {
  std::size_t hosts = 8;
  std::size_t controls = 3;
  std::size_t content_bytes = 0;  ///< Of the configuration that is sent.
  /// Part of each control host's time that other work takes.
  double other_work = 0.3;
};

/// Hosts that follow small control hosts, of which each answers one message
/// after the other. A reply takes time to make and to send, in proportion to
/// its size.
class FollowedFleet {
 public:
  explicit FollowedFleet(const FollowedFleetOptions& options);

  /// Replaces the configuration at all control hosts.
  void Put();
  /// Changes a few bytes of the configuration, each time in another place.
  void Change();
  /// Stops a control host: what waits there or reaches it from now on is lost.
  void Stop(std::size_t control) {
    controls_[control].stopped = true;
    controls_[control].queue.clear();
  }
  /// Lets a stopped control host answer again.
  void Resume(std::size_t control) { controls_[control].stopped = false; }
  /// Runs until `end`, counted from the start.
  void Run(core::Duration end);

  /// Returns the bytes of replies that were sent since the last call of Put.
  [[nodiscard]] std::size_t sent_bytes() const noexcept { return sent_bytes_; }
  /// Returns when the last host applied the configuration, counted from the
  /// call of Put; nothing if some host has not.
  [[nodiscard]] std::optional<core::Duration> InForce() const;
  /// Returns the longest time for which a message waited at a control host that
  /// was not stopped.
  [[nodiscard]] core::Duration longest_wait() const noexcept {
    return longest_wait_;
  }
  /// Returns how often a host without the configuration took it for confirmed
  /// after the call of Put, and so might have denied what it allows.
  [[nodiscard]] std::size_t false_confirmations() const noexcept {
    return false_confirmations_;
  }
  /// Returns the largest age that the configuration of a host has reached since
  /// the last call of Put.
  [[nodiscard]] core::Duration largest_age() const noexcept {
    return largest_age_;
  }
  /// Returns the hosts whose lease has ended at least once.
  [[nodiscard]] std::size_t expired() const;

 private:
  struct Message {
    std::size_t host;
    schema::ConfigPoll poll;
    bool follows;  ///< Sent by a host that follows the receiver.
    core::Duration arrived;
  };
  struct Control {
    State state;
    ContentShare share;
    std::deque<Message> queue;
    core::Duration free_at{};  ///< When the current message is handled.
    bool stopped = false;
  };
  struct Reply {
    core::Duration at;
    std::size_t host;
    std::size_t control;
    schema::ConfigReply content;
  };
  struct Host {
    Observer observer;
    membership::ParentSelector selector;
    std::optional<core::Duration> applied;
    bool expired = false;
  };

  /// Replaces the configuration at all control hosts by `content_`.
  void Commit();
  void Handle(std::size_t control);
  void Deliver();
  void Poll(std::size_t host);
  [[nodiscard]] core::Instant Now() const { return core::Instant(now_); }

  FollowedFleetOptions options_;
  std::vector<Control> controls_;
  std::vector<Host> hosts_;
  std::deque<Reply> replies_;
  std::string content_;
  std::uint64_t version_ = 0;
  core::Duration now_{};
  core::Duration put_at_{};
  std::size_t sent_bytes_ = 0;
  core::Duration longest_wait_{};
  core::Duration largest_age_{};
  std::size_t false_confirmations_ = 0;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_TESTS_CONTROL_FOLLOWED_FLEET_H_
