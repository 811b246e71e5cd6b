#ifndef FOXQUAY_MEMBERSHIP_POLL_QUEUE_H_
#define FOXQUAY_MEMBERSHIP_POLL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/membership/parent_selector.h"

namespace foxquay::membership {

/// Time after which a poll is no longer answered: its sender has stopped
/// waiting for the reply.
inline constexpr core::Duration kPollValidity = kReplyTimeout;

/// Waiting time of the oldest poll above which polls are not answered in the
/// order of arrival. All replies would be late then.
inline constexpr core::Duration kCongestedWait = kFollowInterval / 2;

/// Time after which a control host that has dropped a poll is no longer behind.
inline constexpr core::Duration kBehindMemory = std::chrono::seconds(5);

/// Polls of followers that wait while a control host handles the messages of
/// other control hosts and the log, which go first.
///
/// Answers the load of hundreds of hosts that poll faster than a control host
/// can answer. In the order of arrival, every reply would come too late, so
/// that all hosts poll again and nothing that was done counts, and votes and
/// acknowledgements of the log would wait behind polls, so that the leader is
/// lost too. Each sender has one poll waiting, the last one; polls that have
/// waited too long are dropped; and while polls wait for long, of those that
/// can still be answered in time the one whose sender was answered least
/// recently goes first, so that no host is left without an answer. Not
/// thread-safe; performs no I/O.
template <class Poll>
class PollQueue {
 public:
  /// Adds a poll that arrived at `now`; one of the same sender that still waits
  /// is dropped.
  void Push(const core::HostId& sender, Poll poll, core::Instant now) {
    const auto former = by_sender_.find(sender);
    if (former != by_sender_.end()) {
      waiting_.erase(former->second);
      RecordDrop(now);
    }
    const std::uint64_t number = next_number_++;
    by_sender_[sender] = number;
    waiting_.emplace(number, Item{sender, std::move(poll), now});
  }

  /// Takes the poll to answer next at `now`; nothing if none is worth an
  /// answer.
  [[nodiscard]] std::optional<Poll> Pop(core::Instant now) {
    while (!waiting_.empty() &&
           now - waiting_.begin()->second.arrived >= kPollValidity) {
      Take(waiting_.begin());
      RecordDrop(now);
    }
    if (waiting_.empty()) return std::nullopt;
    const bool congested =
        now - waiting_.begin()->second.arrived >= kCongestedWait;
    const auto next = congested ? LeastServed(now) : waiting_.begin();
    answered_[next->second.sender] = now;
    if (answered_.size() > kMaxRemembered) answered_.clear();
    return Take(next);
  }

  [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }
  /// Returns whether polls were dropped shortly before `now`. Hosts without an
  /// answer poll more rarely, so that a longer silence is normal.
  [[nodiscard]] bool Behind(core::Instant now) const {
    return dropped_at_ && now - *dropped_at_ < kBehindMemory;
  }
  /// Returns the number of polls that were dropped since the last call.
  [[nodiscard]] std::uint64_t TakeDropped() noexcept {
    return std::exchange(dropped_, 0);
  }

 private:
  struct Item {
    core::HostId sender;
    Poll poll;
    core::Instant arrived;
  };
  using Items = std::map<std::uint64_t, Item>;

  /// Number of senders above which the times of their answers are forgotten;
  /// several times the followers of a control host.
  static constexpr std::size_t kMaxRemembered = 4096;

  /// Returns the poll whose sender was answered least recently, of those that
  /// arrived within kFollowInterval; the newest if there is none.
  typename Items::iterator LeastServed(core::Instant now) {
    auto best = std::prev(waiting_.end());
    core::Instant best_answer = core::Instant::max();
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
      if (now - item->second.arrived >= kFollowInterval) continue;
      const auto found = answered_.find(item->second.sender);
      const core::Instant answer =
          found == answered_.end() ? core::Instant::min() : found->second;
      if (answer >= best_answer) continue;
      best = item;
      best_answer = answer;
    }
    return best;
  }

  Poll Take(typename Items::iterator item) {
    Poll poll = std::move(item->second.poll);
    by_sender_.erase(item->second.sender);
    waiting_.erase(item);
    return poll;
  }

  void RecordDrop(core::Instant now) {
    ++dropped_;
    dropped_at_ = now;
  }

  Items waiting_;  ///< By arrival.
  std::map<core::HostId, std::uint64_t> by_sender_;
  std::map<core::HostId, core::Instant> answered_;  ///< Last answers.
  std::uint64_t next_number_ = 1;
  std::uint64_t dropped_ = 0;
  std::optional<core::Instant> dropped_at_;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_POLL_QUEUE_H_
