#ifndef FOXQUAY_ROSTER_FEED_STATS_H_
#define FOXQUAY_ROSTER_FEED_STATS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace foxquay::roster {

/// Why an update of a feed holds what it does.
enum class UpdateReason : std::uint8_t {
  kChanges,    ///< What changed since the version that the receiver has.
  kUnknown,    ///< The receiver has no version of the feed: all of it.
  kRestarted,  ///< It has one of an earlier incarnation: all of it.
  kErased,     ///< It may hold a tombstone that was erased: all of it.
};
inline constexpr std::size_t kUpdateReasons = 4;

/// A change of this host's feed.
enum class FeedChange : std::uint8_t {
  kUpstreamNew,
  kUpstreamChanged,
  kUpstreamLeft,
  kHostNew,      ///< Received here for the first time, or silent before.
  kHostChanged,  ///< Another state, such as its readiness.
  kHostSilent,
};
inline constexpr std::size_t kFeedChanges = 6;

/// Returns the names that logs and metrics use. Thread-safe.
[[nodiscard]] std::string_view Name(UpdateReason reason) noexcept;
[[nodiscard]] std::string_view Name(FeedChange change) noexcept;

/// Updates of feeds that were sent for one reason.
struct UpdateCount {
  std::uint64_t updates = 0;  ///< With at least one item.
  std::uint64_t upstreams = 0;
  std::uint64_t hosts = 0;
};

/// Counts of what a host sends in updates of feeds, and of the changes of its
/// own feed, since the last reset.
struct FeedStats {
  std::array<UpdateCount, kUpdateReasons> updates{};
  std::array<std::uint64_t, kFeedChanges> changes{};
};

/// Formats updates as `REASON:UPDATES/UPSTREAMS/HOSTS` and changes as
/// `CHANGE:COUNT`, separated by commas; those without a count are left out.
/// Thread-safe.
[[nodiscard]] std::string FormatUpdates(const FeedStats& stats);
[[nodiscard]] std::string FormatChanges(const FeedStats& stats);

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_FEED_STATS_H_
