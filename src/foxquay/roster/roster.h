#ifndef FOXQUAY_ROSTER_ROSTER_H_
#define FOXQUAY_ROSTER_ROSTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/roster/fwd.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/roster.h"

namespace foxquay::roster {

/// Silence after which an upstream leaves the feed of the host that hears it.
inline constexpr core::Duration kAnnouncementTtl =
    std::chrono::milliseconds(1800);

/// Age above which a feed no longer makes an upstream usable. With
/// kAnnouncementTtl it bounds how long a silent or withdrawn upstream stays
/// in use, also on a host that is cut off: 2.8 s.
inline constexpr core::Duration kMaxFeedAge = std::chrono::milliseconds(1000);

/// Time for which a feed remembers that an upstream left. Longer than any
/// announcement of the upstream can stay usable elsewhere.
inline constexpr core::Duration kTombstoneTtl = std::chrono::seconds(10);

/// Interval between two polls of the other hosts.
inline constexpr core::Duration kPollInterval = std::chrono::milliseconds(200);

/// Times of a Roster.
struct Options {
  core::Duration announcement_ttl = kAnnouncementTtl;
  core::Duration max_feed_age = kMaxFeedAge;
  /// Time for which upstreams that a restarted host had heard stay usable until
  /// it hears them again; lengthens the bound on silent upstreams by as much.
  core::Duration restart_grace{};
};

/// Knows which upstreams may get work, from announcements heard by this host
/// and from the feeds of other hosts.
///
/// A feed holds what one host heard, with a version that grows with each
/// change. Feeds are pulled, so the age of the copy is bounded by the time of
/// the poll and does not depend on how long the reply travelled. Not
/// thread-safe; performs no I/O.
class Roster {
 public:
  Roster(core::HostId self, std::uint64_t incarnation,
         const Options& options = {});

  /// Takes an announcement heard by this host.
  ///
  /// Returns false and changes nothing if its sequence is not newer than the
  /// last one heard.
  bool Announce(const schema::Announcement& announcement, core::Instant now);

  /// Takes the withdrawal of an upstream, heard by this host or another;
  /// returns false if it is not known.
  bool Withdraw(const core::UpstreamId& upstream, core::Instant now);

  /// Returns the poll to send to another host at `now`.
  [[nodiscard]] schema::RosterPoll Poll(core::Instant now);

  /// Answers the poll of another host.
  [[nodiscard]] schema::RosterReply Answer(const schema::RosterPoll& poll,
                                           core::Instant now);

  /// Takes a reply; ignored if its poll is unknown or was answered already.
  void Apply(const schema::RosterReply& reply, core::Instant now);

  /// Returns the newest announcement of an upstream, from any feed.
  [[nodiscard]] std::optional<schema::Announcement> Newest(
      const core::UpstreamId& upstream) const;

  /// Takes the layers that an upstream was seen to hold after its newest
  /// announcement; its next one is newer again. Sequences of announcements are
  /// therefore at least two apart.
  void ObserveLayers(const core::UpstreamId& upstream,
                     const std::optional<schema::LayerRange>& layers,
                     core::Instant now);

  /// Returns the upstreams that only this host hears and has not heard for
  /// longer than `silence`.
  [[nodiscard]] std::vector<schema::Announcement> Silent(
      core::Duration silence, core::Instant now) const;

  /// Notes that an upstream heard by this host was reached at `now`.
  void Renew(const core::UpstreamId& upstream, core::Instant now);

  /// Returns the upstreams that may get new work, ordered by id.
  [[nodiscard]] std::vector<schema::Announcement> Usable(core::Instant now);

  /// Forgets the feed of a host that is dead for good or was replaced.
  void RemoveFeed(const core::HostId& host);

  /// Returns the number of announcements held in all feeds.
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Entry {
    schema::Announcement announcement;
    std::uint64_t version = 0;
    core::Instant heard_at;  ///< Last renewal, or the change in a copied feed.
  };

  struct Feed {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    std::uint64_t gc_version = 0;  ///< Newest version of an erased departure.
    core::Instant confirmed_at;    ///< When the copy was current at the latest.
    std::map<core::UpstreamId, Entry> entries;
    /// What the host had heard before it restarted and not heard again yet.
    std::map<core::UpstreamId, schema::Announcement> pre_restart;
    core::Instant restart_grace_end;
  };

  void Expire(core::Instant now);
  [[nodiscard]] static schema::FeedUpdate MakeUpdate(
      const core::HostId& host, const Feed& feed,
      const schema::RosterPoll& poll, core::Instant now);
  void SetAnnouncement(Entry& entry, const schema::Announcement& announcement);
  void ApplyFeed(const schema::FeedUpdate& update, core::Instant confirmed_at,
                 core::Instant now);
  Feed& OwnFeed() { return feeds_[self_]; }

  core::HostId self_;
  Options options_;
  std::map<core::HostId, Feed> feeds_;
  std::map<std::uint64_t, core::Instant> polls_;
  std::uint64_t next_poll_ = 1;
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_ROSTER_H_
