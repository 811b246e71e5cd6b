#ifndef FOXQUAY_CONSENSUS_WRITE_TRACKER_H_
#define FOXQUAY_CONSENSUS_WRITE_TRACKER_H_

#include <algorithm>
#include <deque>
#include <optional>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/id.h"

namespace foxquay::consensus::internal {

/// Tracks which changes are on disk: changes of one step are collected into
/// one numbered write, and writes are acknowledged in order.
class WriteTracker {
 public:
  explicit WriteTracker(Index durable_index) : durable_index_(durable_index) {}

  /// Notes that term or vote changed.
  void MarkVoteChanged() noexcept { vote_changed_ = true; }

  /// Notes that entries from `first` on were added; `cut` if others were there.
  void MarkEntriesChanged(Index first, bool truncated) {
    first_changed_ = std::min(first_changed_.value_or(first), first);
    if (truncated) TruncateFrom(first);
  }

  /// Notes that the log was replaced as a whole.
  void MarkLogReplaced() {
    first_changed_.reset();
    TruncateFrom(1);
  }

  [[nodiscard]] bool changed() const noexcept {
    return vote_changed_ || first_changed_.has_value();
  }
  /// Returns the first entry that the next write contains, if any.
  [[nodiscard]] std::optional<Index> first_changed() const noexcept {
    return first_changed_;
  }

  /// Starts a write of everything up to `last`; returns its number.
  WriteId Begin(Index last, Index compact_to = 0) {
    ++last_issued_;
    if (vote_changed_) vote_write_id_ = last_issued_;
    vote_changed_ = false;
    first_changed_.reset();
    pending_.push_back({last_issued_, last, compact_to});
    return WriteId(last_issued_);
  }

  /// Notes that all writes up to `write_id` are on disk.
  ///
  /// Returns the index up to which a saved snapshot allows to compact; 0 if
  /// none.
  Index Finish(WriteId write_id) {
    Index compact_to = 0;
    while (!pending_.empty() && pending_.front().write_id <= write_id.value()) {
      last_finished_ = pending_.front().write_id;
      durable_index_ = std::max(durable_index_, pending_.front().last);
      compact_to = std::max(compact_to, pending_.front().compact_to);
      pending_.pop_front();
    }
    return compact_to;
  }

  /// Returns the last entry on disk.
  [[nodiscard]] Index durable_index() const noexcept { return durable_index_; }
  /// Returns the number of the last finished write.
  [[nodiscard]] WriteId finished() const noexcept {
    return WriteId(last_finished_);
  }
  /// Returns the number of the write that contains all changes so far.
  [[nodiscard]] WriteId latest_write() const noexcept {
    return WriteId(changed() ? last_issued_ + 1 : last_issued_);
  }
  /// Returns the number of the write that contains term and vote.
  [[nodiscard]] WriteId vote_write() const noexcept {
    return WriteId(vote_changed_ ? last_issued_ + 1 : vote_write_id_);
  }

 private:
  struct Pending {
    std::uint64_t write_id = 0;
    Index last = 0;
    Index compact_to = 0;
  };

  void TruncateFrom(Index first) {
    durable_index_ = std::min(durable_index_, first - 1);
    for (Pending& write : pending_) {
      write.last = std::min(write.last, first - 1);
    }
  }

  Index durable_index_ = 0;
  bool vote_changed_ = false;
  std::optional<Index> first_changed_;
  std::uint64_t last_issued_ = 0;
  std::uint64_t last_finished_ = 0;
  std::uint64_t vote_write_id_ = 0;
  std::deque<Pending> pending_;
};

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_WRITES_H_
