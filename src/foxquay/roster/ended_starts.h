#ifndef FOXQUAY_ROSTER_ENDED_STARTS_H_
#define FOXQUAY_ROSTER_ENDED_STARTS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::roster {

/// Size of the blocks of sequences of which the last one ends a start of an
/// upstream. More than it announces in a month, since other hosts do not know
/// of announcements that change nothing.
inline constexpr std::uint64_t kStartSequences = std::uint64_t{1} << 24;

/// Time for which it is remembered that a start of an upstream has ended.
/// Longer than an announcement is delayed, and than an upstream that has left
/// serves on.
inline constexpr core::Duration kEndedStartRetention = std::chrono::minutes(2);

/// Maximum number of ended starts that are remembered; the oldest make room.
inline constexpr std::size_t kMaxEndedStarts = 8192;

/// Returns whether an announcement states that its upstream leaves for good:
/// only another start of it may be used again. Thread-safe.
[[nodiscard]] bool EndsStart(const schema::Announcement& announcement);

/// Returns an announcement that ends the start of an upstream. Preconditions:
/// the start time is known; the sequences of two starts lie in different blocks
/// of kStartSequences. Thread-safe.
[[nodiscard]] schema::Announcement EndOf(schema::Announcement announcement);

/// The starts of upstreams that have ended, as far as this host has learned
/// from any other host.
///
/// Independent of the hosts from which it was learned: a leave that one of them
/// has acknowledged outlives its process. Not thread-safe; performs no I/O.
class EndedStarts {
 public:
  /// Records an announcement that ends a start; others are ignored.
  void Record(const schema::Announcement& announcement, core::Instant now);

  /// Returns whether an announcement belongs to a start that has ended.
  [[nodiscard]] bool Covers(const schema::Announcement& announcement) const;

  /// Forgets what was recorded longer ago than kEndedStartRetention.
  void Expire(core::Instant now);

  [[nodiscard]] std::size_t size() const noexcept { return ended_.size(); }

 private:
  struct End {
    std::uint64_t sequence = 0;  ///< The last one of the start.
    core::Instant recorded_at;
  };

  std::map<core::UpstreamId, End> ended_;
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_ENDED_STARTS_H_
