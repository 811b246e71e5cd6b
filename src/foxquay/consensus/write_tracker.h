#ifndef FOXQUAY_CONSENSUS_WRITE_TRACKER_H_
#define FOXQUAY_CONSENSUS_WRITE_TRACKER_H_

#include <algorithm>
#include <deque>
#include <optional>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/id.h"

namespace foxquay::consensus::internal {

/// Tracks which changes of the persistent state are on disk. The changes made
/// while one event is handled form one write; writes finish in the order of
/// their ids.
class WriteTracker {
 public:
  /// `durable_index` is the last log entry on disk at start.
  explicit WriteTracker(Index durable_index) : durable_index_(durable_index) {}

  /// Includes term and vote in the next write.
  void MarkVoteChanged() noexcept { vote_changed_ = true; }

  /// Includes the entries from `first` on in the next write. `truncated` tells
  /// whether they replace entries that were in the log before.
  void MarkEntriesChanged(Index first, bool truncated) {
    first_changed_ = std::min(first_changed_.value_or(first), first);
    if (truncated) TruncateFrom(first);
  }

  /// Records that a snapshot replaced the whole log, so that no entry of the
  /// former log counts as durable.
  void MarkLogReplaced() {
    first_changed_.reset();
    TruncateFrom(1);
  }

  /// Returns whether there are changes that no write contains yet.
  [[nodiscard]] bool changed() const noexcept {
    return vote_changed_ || first_changed_.has_value();
  }
  /// Returns the first entry that the next write contains, if any.
  [[nodiscard]] std::optional<Index> first_changed() const noexcept {
    return first_changed_;
  }

  /// Starts a write of all changes and returns its id. `last` is the last entry
  /// of the log. `compact_to` is the index of the snapshot that the write
  /// contains, or 0 if it contains none.
  WriteId Begin(Index last, Index compact_to = 0) {
    ++last_issued_;
    if (vote_changed_) vote_write_id_ = last_issued_;
    vote_changed_ = false;
    first_changed_.reset();
    pending_.push_back({last_issued_, last, compact_to});
    return WriteId(last_issued_);
  }

  /// Marks all writes up to and including `write_id` as on disk.
  ///
  /// Returns the index of the latest snapshot among them, up to which the log
  /// may be compacted, or 0 if there is none.
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

  /// Returns the index of the last entry on disk.
  [[nodiscard]] Index durable_index() const noexcept { return durable_index_; }
  /// Returns the id of the last write that is on disk.
  [[nodiscard]] WriteId finished() const noexcept {
    return WriteId(last_finished_);
  }
  /// Returns the id of the write that completes all changes made so far; it may
  /// not have started.
  [[nodiscard]] WriteId latest_write() const noexcept {
    return WriteId(changed() ? last_issued_ + 1 : last_issued_);
  }
  /// Returns the id of the write that contains the current term and vote; it
  /// may not have started.
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

#endif  // FOXQUAY_CONSENSUS_WRITE_TRACKER_H_
