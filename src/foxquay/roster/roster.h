#ifndef FOXQUAY_ROSTER_ROSTER_H_
#define FOXQUAY_ROSTER_ROSTER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/roster/ended_starts.h"
#include "foxquay/roster/feed_stats.h"
#include "foxquay/roster/fwd.h"
#include "foxquay/schema/announcement.h"
#include "foxquay/schema/roster.h"

namespace foxquay::roster {

/// Time since the last announcement or renewal of an upstream after which the
/// host that received it marks the upstream as leaving.
inline constexpr core::Duration kAnnouncementTtl =
    std::chrono::milliseconds(1800);

/// Age above which the upstreams of a feed are no longer usable.
///
/// Together with kAnnouncementTtl, it bounds the time for which a silent or
/// withdrawn upstream stays in use to 2.8 s, also on a host that is partitioned
/// from the others.
inline constexpr core::Duration kMaxFeedAge = std::chrono::milliseconds(1000);

/// Time for which a feed retains the tombstone of an upstream that is silent or
/// left without its start being known to have ended. Longer than an
/// announcement of the upstream can stay usable on any other host.
inline constexpr core::Duration kTombstoneTtl = std::chrono::seconds(10);

/// Time since the last report of a host after which the host that received it
/// marks it as silent, so that callers are no longer directed to it.
inline constexpr core::Duration kHostSilence = std::chrono::milliseconds(1500);

/// As kHostSilence, at a host that is behind with the polls of its followers.
/// Longer than the longest time between two polls of a host that gets no answer
/// (four times 700 ms), so that hosts do not turn silent, which is a change
/// that all hosts are sent, because this one is busy.
inline constexpr core::Duration kBehindHostSilence =
    std::chrono::milliseconds(3500);

/// Age above which the hosts of a feed count as silent. Longer than a follower
/// needs to find another control host, so that the loss of one control host
/// does not take its followers out of service.
inline constexpr core::Duration kMaxHostFeedAge =
    std::chrono::milliseconds(2500);

/// Time for which a feed retains a silent host.
inline constexpr core::Duration kSilentHostRetention = std::chrono::seconds(60);

/// Interval at which a control host tells the others which hosts it hears that
/// they have published; several times within kHostSilence.
inline constexpr core::Duration kHeardInterval = std::chrono::milliseconds(500);

/// As kHeardInterval, while there are none: the message shows that its sender
/// renews hosts.
inline constexpr core::Duration kEmptyHeardInterval = std::chrono::seconds(2);

/// Time without HeardHosts after which its owner counts as a build that does
/// not renew hosts.
inline constexpr core::Duration kRenewalSilence = std::chrono::seconds(5);

/// Time after which a copied feed is sent to a host that polls its owner too:
/// until then, the owner's own reply brings it.
inline constexpr core::Duration kRelayDelay = std::chrono::milliseconds(500);

/// Interval at which a host polls the other hosts.
inline constexpr core::Duration kPollInterval = std::chrono::milliseconds(200);

/// Time after which a host that has not answered is polled again. Each answer
/// to a poll holds all that the sender lacked, so that a second poll to a busy
/// host costs as much as the first.
inline constexpr core::Duration kPollTimeout = std::chrono::milliseconds(1000);

/// Time bounds of a Roster.
struct Options {
  core::Duration announcement_ttl = kAnnouncementTtl;  ///< See the constant.
  core::Duration max_feed_age = kMaxFeedAge;           ///< See the constant.
  /// Time after the restart of another host for which the upstreams in its
  /// previous feed stay usable until the host receives their announcements
  /// again. Lengthens the bound on silent upstreams by the same time.
  core::Duration restart_grace{};
  /// Whether other hosts take over this host's feed, so that it has to keep the
  /// leaves that a host which restarts or is removed has acknowledged.
  bool keeps_leaves = true;
};

/// Registry of the upstreams that may be given work and of the hosts of the
/// cluster, from what this host receives and from the feeds of other hosts.
///
/// A feed holds the announcements and host reports that one host received, and
/// a version that increases with each change. What has not changed is not sent
/// again, so that the cost of a poll does not grow with the cluster. Hosts poll
/// each other for feeds, and the age of a copy counts from when the poll was
/// sent, so that it does not depend on how long the reply was in transit. Not
/// thread-safe; performs no I/O.
class Roster {
 public:
  /// `self` is this host. Precondition: `incarnation` is larger than all
  /// previous ones of this host.
  Roster(core::HostId self, std::uint64_t incarnation,
         const Options& options = {});

  /// Applies an announcement that this host received at `now`.
  ///
  /// Returns false and changes nothing if its sequence is not larger than that
  /// of the last announcement of the upstream that this host received, or if
  /// its start has ended.
  bool Announce(const schema::Announcement& announcement, core::Instant now);

  /// Marks an upstream as leaving in this host's feed at `now`, whether this
  /// host or another one received its announcements; returns false if the
  /// upstream is unknown. A later announcement makes it usable again.
  bool Withdraw(const core::UpstreamId& upstream, core::Instant now) {
    return MarkLeaving(upstream, false, now);
  }

  /// As Withdraw, for an upstream that has said itself that it leaves. If its
  /// start time is known, announcements of the same start that arrive later do
  /// not make it usable: they were sent before, or it still serves.
  ///
  /// Precondition: of upstreams with a start time, the sequences of two starts
  /// lie in different blocks of kStartSequences.
  bool Leave(const core::UpstreamId& upstream, core::Instant now);

  /// Returns the version of this host's feed since which it states that an
  /// upstream leaves; nothing if it does not state that.
  [[nodiscard]] std::optional<std::uint64_t> LeavingSince(
      const core::UpstreamId& upstream) const;

  /// Returns the time up to which this host knows each leave that any of
  /// `controls` acknowledged without knowing that the others have it: no
  /// earlier than kSpreadTimeout after its feed had it, see Spread. Feeds that
  /// this host does not know are left out; nothing if it knows none.
  [[nodiscard]] std::optional<core::Instant> SpreadAsOf(
      const std::vector<core::HostId>& controls) const;

  /// Returns a poll to send to another host at `now`.
  [[nodiscard]] schema::RosterPoll Poll(core::Instant now);

  /// As Poll, for a host that is polled every kPollInterval: returns nothing
  /// while a poll to it is open for less than kPollTimeout.
  [[nodiscard]] std::optional<schema::RosterPoll> PollIfAnswered(
      const core::HostId& to, core::Instant now);

  /// Returns the reply to another host's poll. Copied feeds of which the other
  /// host lacks only what arrived here within `relay_delay` are left out.
  [[nodiscard]] schema::RosterReply Answer(
      const schema::RosterPoll& poll, core::Instant now,
      core::Duration relay_delay = core::Duration::zero());

  /// Applies a reply received at `now`; ignored if its poll is unknown or has
  /// already been answered.
  void Apply(const schema::RosterReply& reply, core::Instant now);

  /// Returns the announcement of an upstream with the largest sequence in any
  /// feed, or nothing if the upstream is unknown.
  [[nodiscard]] std::optional<schema::Announcement> Newest(
      const core::UpstreamId& upstream) const;

  /// Records the layers that an upstream was observed to hold after its newest
  /// announcement; nothing means that it holds none.
  ///
  /// The observation takes the next sequence and is superseded by the next
  /// announcement. Precondition: the sequences of successive announcements of
  /// an upstream differ by at least two.
  void ObserveLayers(const core::UpstreamId& upstream,
                     const std::optional<schema::LayerRange>& layers,
                     core::Instant now);

  /// Returns the last announcements of the upstreams in this host's feed that
  /// have been silent for longer than `silence` and of which no other host
  /// received a newer announcement.
  [[nodiscard]] std::vector<schema::Announcement> Silent(
      core::Duration silence, core::Instant now) const;

  /// Records that an upstream in this host's feed was reachable at `now`, which
  /// renews its last announcement.
  void Renew(const core::UpstreamId& upstream, core::Instant now);

  /// Returns the upstreams that may be given new work, ordered by id.
  [[nodiscard]] std::vector<schema::Announcement> Usable(core::Instant now);

  /// Applies the report of a host that this host received at `now`.
  ///
  /// A host that moves from one control host to another changes nothing for the
  /// others: while the feed of a host that takes part in Renew states the same
  /// of it, it is not published a second time but renewed there.
  void HearHost(const schema::HostState& state, core::Instant now);

  /// Sets the time without a report after which hosts are silent.
  void SetHostSilence(core::Duration silence) {
    if (silence == host_silence_) return;
    host_silence_ = silence;
    next_expiry_ = core::Instant::min();
  }

  /// Returns the hosts that this host hears and another one has published, to
  /// be sent to the other control hosts every kHeardInterval, and every
  /// kEmptyHeardInterval if there are none.
  [[nodiscard]] schema::HeardHosts Heard(core::Instant now) const;

  /// Applies what `from` hears: hosts in this host's feed are not silent.
  void Renew(const core::HostId& from, const schema::HeardHosts& heard,
             core::Instant now);

  /// Returns the time as of which this host knows all of the feed of `host`;
  /// nothing if it has no copy of it, and for this host itself. The time of a
  /// copy that was received from a third host counts from when that host had
  /// it from the owner.
  [[nodiscard]] std::optional<core::Instant> ConfirmedAt(
      const core::HostId& host) const;

  /// Returns the hosts in all feeds, ordered by id: the newest state of each,
  /// which is silent unless a feed that is not too old holds it as heard.
  [[nodiscard]] std::vector<schema::HostState> Hosts(core::Instant now);

  /// Returns the number of changes of any feed since the start, from which
  /// callers see that the results of Usable and Hosts may differ. They may also
  /// differ by the time that has passed.
  [[nodiscard]] std::uint64_t changes() const noexcept { return changes_; }

  /// Records that messages to a host may be lost: it is polled again at once.
  void RecordLoss(const core::HostId& host) { last_polls_.erase(host); }

  /// Removes the feed of a host that is permanently dead or was replaced; this
  /// host's own feed is not removed.
  void RemoveFeed(const core::HostId& host);

  /// Returns what was sent in updates of feeds, and how this host's feed
  /// changed, since the last call.
  [[nodiscard]] FeedStats TakeStats() { return std::exchange(stats_, {}); }

  /// Returns the number of announcements in all feeds, including tombstones.
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  /// An upstream in a feed; a tombstone if its announcement is `leaving`.
  struct Entry {
    schema::Announcement announcement;
    std::uint64_t version = 0;  ///< Version of the feed with the last change.
    /// Last announcement or renewal; in a copied feed, when the change arrived.
    core::Instant heard_at;
  };

  /// A host in a feed.
  struct HostEntry {
    schema::HostState state;
    std::uint64_t version = 0;  ///< Version of the feed with the last change.
    core::Instant heard_at;     ///< As in Entry.
  };

  /// Feed of this host, or a copy of another host's feed.
  struct Feed {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    /// Largest version of an erased tombstone; a copy with an older version may
    /// lack it and has to be replaced as a whole.
    std::uint64_t gc_version = 0;
    core::Instant confirmed_at;  ///< Latest time when it was known as current.
    std::map<core::UpstreamId, Entry> entries;
    std::map<core::HostId, HostEntry> hosts;
    /// Last HeardHosts of the owner; not set if it does not send them.
    std::optional<core::Instant> renewed_at;
    /// Announcements that the host received before its restart and has not
    /// received again since.
    std::map<core::UpstreamId, schema::Announcement> pre_restart;
    core::Instant restart_grace_end;
  };

  /// Erases expired tombstones from all feeds, and marks the upstreams and
  /// hosts in this host's feed that have been silent for too long.
  void Expire(core::Instant now);
  void ExpireHosts(Feed& feed, bool own, core::Instant now);
  /// Makes the next call of Expire at `time` or later check all entries.
  void CheckExpiryAt(core::Instant time) {
    next_expiry_ = std::min(next_expiry_, time);
  }
  /// Returns the changes of `feed`, which belongs to `host`, for a reply to
  /// `poll`; nothing if all of them arrived within `relay_delay`.
  [[nodiscard]] std::optional<schema::FeedUpdate> MakeUpdate(
      const core::HostId& host, const Feed& feed,
      const schema::RosterPoll& poll, core::Instant now,
      core::Duration relay_delay);
  /// Returns whether the newest state of a host in any feed is `state`, and the
  /// owner of that feed renews its hosts.
  [[nodiscard]] bool IsPublished(const schema::HostState& state,
                                 core::Instant now) const;
  /// Marks an upstream as leaving, with its newest sequence or, if `ends`, with
  /// the last one of its start; returns false if the upstream is unknown.
  bool MarkLeaving(const core::UpstreamId& upstream, bool ends,
                   core::Instant now);
  /// Adds a host to this host's feed, or changes it there.
  void PublishHost(const schema::HostState& state, core::Instant heard_at);
  /// Takes over that an upstream leaves, which another host's feed states.
  void LearnLeave(const schema::Announcement& leaving, core::Instant now);
  /// Takes the ended starts of a feed that is lost into this host's feed.
  void KeepEndedStarts(const Feed& lost, core::Instant now);
  /// Publishes hosts that no other feed states any more.
  void ReviewUnpublished(core::Instant now);
  void SetAnnouncement(Entry& entry, const schema::Announcement& announcement,
                       FeedChange change);
  void SetHost(HostEntry& entry, const schema::HostState& state,
               FeedChange change);
  void Count(FeedChange change) {
    ++stats_.changes.at(static_cast<std::size_t>(change));
  }
  /// Applies the changes of another host's feed, which was current at
  /// `confirmed_at`.
  void ApplyFeed(const schema::FeedUpdate& update, core::Instant confirmed_at,
                 core::Instant now);
  Feed& OwnFeed() { return feeds_[self_]; }

  core::HostId self_;
  Options options_;
  std::map<core::HostId, Feed> feeds_;
  EndedStarts ended_;
  /// Hosts that this host hears and another one has published.
  std::map<core::HostId, HostEntry> unpublished_;
  core::Duration host_silence_ = kHostSilence;
  std::map<std::uint64_t, core::Instant> polls_;  ///< Send times by number.
  /// Last poll to each host that PollIfAnswered has returned.
  std::map<core::HostId, std::uint64_t> last_polls_;
  std::uint64_t next_poll_ = 1;
  std::uint64_t changes_ = 0;
  FeedStats stats_;
  /// No entry of any feed expires before this time.
  core::Instant next_expiry_ = core::Instant::max();
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_ROSTER_H_
