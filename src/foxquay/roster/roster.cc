#include "foxquay/roster/roster.h"

#include <algorithm>
#include <utility>

#include "foxquay/roster/spread.h"

namespace foxquay::roster {
namespace {

/// Maximum number of polls without a reply; replies to older ones are ignored.
constexpr std::size_t kMaxOpenPolls = 1024;

/// Returns the load in eighths of the slots. Smaller changes are not sent to
/// other hosts.
std::uint64_t QuantizedLoad(const schema::Announcement& announcement) {
  if (announcement.slots == 0) return announcement.load;
  return std::uint64_t{announcement.load} * 8 / announcement.slots;
}

/// Returns whether the difference between two announcements of an upstream
/// needs a new version of the feed.
bool ChangesFeed(const schema::Announcement& left,
                 const schema::Announcement& right) {
  schema::Announcement same = right;
  same.sequence = left.sequence;
  same.load = left.load;
  return same != left || QuantizedLoad(left) != QuantizedLoad(right);
}

/// Returns how long a feed retains a tombstone.
core::Duration TombstoneTtl(const schema::Announcement& tombstone) {
  return EndsStart(tombstone) ? kEndedStartRetention : kTombstoneTtl;
}

/// Orders the reports of one host by age; the largest is the newest.
std::pair<std::uint64_t, std::uint64_t> ReportOrder(
    const schema::HostState& state) {
  return {state.address.incarnation, state.number};
}

/// Erases all but the latest started of several upstreams at one address, since
/// the address of an upstream that ended may be reused.
void DropSuperseded(
    std::map<core::UpstreamId, const schema::Announcement*>& all) {
  std::map<std::string, const schema::Announcement*> latest;
  for (const auto& [id, announcement] : all) {
    const schema::Announcement*& current = latest[announcement->address];
    if (current == nullptr || current->born < announcement->born) {
      current = announcement;
    }
  }
  std::erase_if(all, [&latest](const auto& item) {
    return latest.at(item.second->address)->born > item.second->born;
  });
}

}  // namespace

Roster::Roster(core::HostId self, std::uint64_t incarnation,
               const Options& options)
    : self_(std::move(self)), options_(options) {
  OwnFeed().incarnation = incarnation;
}

void Roster::SetAnnouncement(Entry& entry,
                             const schema::Announcement& announcement,
                             FeedChange change) {
  Count(change);
  entry.announcement = announcement;
  entry.version = ++OwnFeed().version;
  ++changes_;
  CheckExpiryAt(entry.heard_at + (announcement.leaving
                                      ? TombstoneTtl(announcement)
                                      : options_.announcement_ttl));
}

void Roster::SetHost(HostEntry& entry, const schema::HostState& state,
                     FeedChange change) {
  Count(change);
  entry.state = state;
  entry.version = ++OwnFeed().version;
  ++changes_;
  CheckExpiryAt(entry.heard_at +
                (state.silent ? kSilentHostRetention : host_silence_));
}

void Roster::HearHost(const schema::HostState& state, core::Instant now) {
  Expire(now);
  const core::HostId& id = state.address.id;
  const auto own = OwnFeed().hosts.find(id);
  const bool published =
      own != OwnFeed().hosts.end() && !own->second.state.silent;
  if (published && ReportOrder(state) < ReportOrder(own->second.state)) return;
  schema::HostState heard = state;
  heard.silent = false;
  if (!published && IsPublished(heard, now)) {
    unpublished_[id] = {heard, 0, now};
    return;
  }
  unpublished_.erase(id);
  PublishHost(heard, now);
}

bool Roster::IsPublished(const schema::HostState& state,
                         core::Instant now) const {
  // What other hosts take for the state: the newest one that is heard.
  const schema::HostState* newest = nullptr;
  bool renewed = false;
  for (const auto& [owner, feed] : feeds_) {
    const auto found = feed.hosts.find(state.address.id);
    if (found == feed.hosts.end() || found->second.state.silent) continue;
    const schema::HostState& known = found->second.state;
    if (newest != nullptr && ReportOrder(known) <= ReportOrder(*newest)) {
      continue;
    }
    newest = &known;
    // The others take its hosts for silent when it does not answer them.
    renewed = owner != self_ && feed.renewed_at &&
              now - *feed.renewed_at <= kRenewalSilence &&
              now - feed.confirmed_at <= kMaxHostFeedAge / 2;
  }
  if (newest == nullptr || !renewed) return false;
  schema::HostState same = state;
  same.number = newest->number;
  return same == *newest;
}

void Roster::PublishHost(const schema::HostState& state,
                         core::Instant heard_at) {
  const auto [found, inserted] =
      OwnFeed().hosts.try_emplace(state.address.id, HostEntry{});
  HostEntry& entry = found->second;
  entry.heard_at = heard_at;
  schema::HostState same = state;
  same.number = entry.state.number;
  if (inserted || entry.state.silent) {
    SetHost(entry, state, FeedChange::kHostNew);
  } else if (same != entry.state) {
    SetHost(entry, state, FeedChange::kHostChanged);
  }
}

void Roster::ReviewUnpublished(core::Instant now) {
  std::erase_if(unpublished_, [this, now](const auto& item) {
    const HostEntry& entry = item.second;
    if (now - entry.heard_at > host_silence_) return true;
    if (IsPublished(entry.state, now)) return false;
    PublishHost(entry.state, entry.heard_at);
    return true;
  });
}

schema::HeardHosts Roster::Heard(core::Instant now) const {
  schema::HeardHosts heard;
  for (const auto& [id, entry] : unpublished_) {
    heard.hosts.push_back(
        {id, entry.state.address.incarnation, now - entry.heard_at});
  }
  return heard;
}

void Roster::Renew(const core::HostId& from, const schema::HeardHosts& heard,
                   core::Instant now) {
  const auto feed = feeds_.find(from);
  if (feed != feeds_.end() && from != self_) feed->second.renewed_at = now;
  for (const schema::HeardHost& host : heard.hosts) {
    const auto found = OwnFeed().hosts.find(host.host);
    const bool recent =
        host.age >= core::Duration::zero() && host.age <= kBehindHostSilence;
    if (found == OwnFeed().hosts.end() || !recent) continue;
    HostEntry& entry = found->second;
    if (entry.state.address.incarnation != host.incarnation) continue;
    entry.heard_at =
        std::max(entry.heard_at, now - core::WithClockError(host.age));
  }
}

std::optional<core::Instant> Roster::ConfirmedAt(
    const core::HostId& host) const {
  const auto found = feeds_.find(host);
  // Without an incarnation, only a part of the feed has arrived.
  const bool known =
      host != self_ && found != feeds_.end() && found->second.incarnation != 0;
  if (!known) return std::nullopt;
  return found->second.confirmed_at;
}

std::vector<schema::HostState> Roster::Hosts(core::Instant now) {
  Expire(now);
  struct Newest {
    const schema::HostState* state = nullptr;
    bool heard = false;
  };
  // A state that is heard counts before all silent ones: a host whose wall
  // clock was set back restarts with a smaller incarnation than before.
  std::map<core::HostId, Newest> merged;
  for (const auto& [host, feed] : feeds_) {
    const bool fresh = now - feed.confirmed_at <= kMaxHostFeedAge;
    for (const auto& [id, entry] : feed.hosts) {
      const bool heard = fresh && !entry.state.silent;
      Newest& known = merged[id];
      const bool newer =
          known.state == nullptr ||
          std::make_pair(known.heard, ReportOrder(*known.state)) <
              std::make_pair(heard, ReportOrder(entry.state));
      if (newer) known = {&entry.state, heard};
    }
  }
  std::vector<schema::HostState> hosts;
  hosts.reserve(merged.size());
  for (const auto& [id, known] : merged) {
    hosts.push_back(*known.state);
    hosts.back().silent = !known.heard;
  }
  return hosts;
}

bool Roster::Announce(const schema::Announcement& announcement,
                      core::Instant now) {
  Expire(now);
  if (ended_.Covers(announcement)) return false;
  const auto [found, inserted] =
      OwnFeed().entries.try_emplace(announcement.id, Entry{});
  Entry& entry = found->second;
  if (!inserted && announcement.sequence <= entry.announcement.sequence) {
    return false;
  }
  entry.heard_at = now;
  if (inserted) {
    SetAnnouncement(entry, announcement, FeedChange::kUpstreamNew);
  } else if (ChangesFeed(entry.announcement, announcement)) {
    SetAnnouncement(entry, announcement, FeedChange::kUpstreamChanged);
  } else {
    entry.announcement.sequence = announcement.sequence;
  }
  return true;
}

std::optional<schema::Announcement> Roster::Newest(
    const core::UpstreamId& upstream) const {
  const schema::Announcement* newest = nullptr;
  for (const auto& [host, feed] : feeds_) {
    const auto found = feed.entries.find(upstream);
    if (found == feed.entries.end()) continue;
    const schema::Announcement& known = found->second.announcement;
    // A withdrawal has the sequence of the last announcement.
    const bool newer =
        newest == nullptr || std::make_pair(newest->sequence, newest->leaving) <
                                 std::make_pair(known.sequence, known.leaving);
    if (newer) newest = &known;
  }
  if (newest == nullptr) return std::nullopt;
  return *newest;
}

bool Roster::Leave(const core::UpstreamId& upstream, core::Instant now) {
  const auto newest = Newest(upstream);
  const bool started = newest && newest->born != core::WallTime();
  return MarkLeaving(upstream, started, now);
}

bool Roster::MarkLeaving(const core::UpstreamId& upstream, bool ends,
                         core::Instant now) {
  Expire(now);
  std::optional<schema::Announcement> leaving = Newest(upstream);
  if (!leaving) return false;
  leaving->leaving = true;
  if (ends) {
    leaving = EndOf(*std::move(leaving));
    ended_.Record(*leaving, now);
  }
  Entry& entry = OwnFeed().entries[upstream];
  entry.heard_at = now;
  SetAnnouncement(entry, *leaving, FeedChange::kUpstreamLeft);
  return true;
}

std::optional<std::uint64_t> Roster::LeavingSince(
    const core::UpstreamId& upstream) const {
  const auto& entries = feeds_.at(self_).entries;
  const auto found = entries.find(upstream);
  if (found == entries.end() || !found->second.announcement.leaving) {
    return std::nullopt;
  }
  return found->second.version;
}

void Roster::ObserveLayers(const core::UpstreamId& upstream,
                           const std::optional<schema::LayerRange>& layers,
                           core::Instant now) {
  std::optional<schema::Announcement> observed = Newest(upstream);
  if (!observed || observed->leaving) return;
  observed->sequence += 1;
  observed->unplaced = !layers;
  observed->layers = layers.value_or(schema::LayerRange{});
  Entry& entry = OwnFeed().entries[upstream];
  entry.heard_at = now;
  SetAnnouncement(entry, *observed, FeedChange::kUpstreamChanged);
}

std::vector<schema::Announcement> Roster::Silent(core::Duration silence,
                                                 core::Instant now) const {
  std::vector<schema::Announcement> silent;
  for (const auto& [id, entry] : feeds_.at(self_).entries) {
    if (entry.announcement.leaving || now - entry.heard_at <= silence) continue;
    const bool heard_elsewhere = std::any_of(
        feeds_.begin(), feeds_.end(), [&id = id, &entry = entry](auto& item) {
          const auto found = item.second.entries.find(id);
          return found != item.second.entries.end() &&
                 found->second.announcement.sequence >
                     entry.announcement.sequence;
        });
    if (!heard_elsewhere) silent.push_back(entry.announcement);
  }
  return silent;
}

void Roster::Renew(const core::UpstreamId& upstream, core::Instant now) {
  const auto found = OwnFeed().entries.find(upstream);
  if (found == OwnFeed().entries.end()) return;
  found->second.heard_at = std::max(found->second.heard_at, now);
}

void Roster::Expire(core::Instant now) {
  OwnFeed().confirmed_at = now;
  if (now < next_expiry_) return;
  next_expiry_ = core::Instant::max();
  ended_.Expire(now);
  for (auto& [host, feed] : feeds_) {
    std::erase_if(feed.entries, [this, now, &feed = feed](const auto& item) {
      const Entry& entry = item.second;
      if (!entry.announcement.leaving) return false;
      const core::Duration ttl = TombstoneTtl(entry.announcement);
      const bool expired = now - entry.heard_at > ttl;
      if (expired) {
        feed.gc_version = std::max(feed.gc_version, entry.version);
      } else {
        CheckExpiryAt(entry.heard_at + ttl);
      }
      return expired;
    });
    ExpireHosts(feed, host == self_, now);
  }
  for (auto& [id, entry] : OwnFeed().entries) {
    if (entry.announcement.leaving) continue;
    if (now - entry.heard_at <= options_.announcement_ttl) {
      CheckExpiryAt(entry.heard_at + options_.announcement_ttl);
      continue;
    }
    schema::Announcement leaving = entry.announcement;
    leaving.leaving = true;
    SetAnnouncement(entry, leaving, FeedChange::kUpstreamLeft);
  }
}

void Roster::ExpireHosts(Feed& feed, bool own, core::Instant now) {
  std::erase_if(feed.hosts, [this, now, &feed](const auto& item) {
    const HostEntry& entry = item.second;
    if (!entry.state.silent) return false;
    const bool expired = now - entry.heard_at > kSilentHostRetention;
    if (expired) {
      feed.gc_version = std::max(feed.gc_version, entry.version);
    } else {
      CheckExpiryAt(entry.heard_at + kSilentHostRetention);
    }
    return expired;
  });
  if (!own) return;
  for (auto& [id, entry] : feed.hosts) {
    if (entry.state.silent) continue;
    if (now - entry.heard_at <= host_silence_) {
      CheckExpiryAt(entry.heard_at + host_silence_);
      continue;
    }
    schema::HostState silent = entry.state;
    silent.silent = true;
    SetHost(entry, silent, FeedChange::kHostSilent);
  }
}

std::optional<core::Instant> Roster::SpreadAsOf(
    const std::vector<core::HostId>& controls) const {
  std::optional<core::Instant> oldest;
  for (const core::HostId& control : controls) {
    const auto known = ConfirmedAt(control);
    if (known && (!oldest || *known < *oldest)) oldest = known;
  }
  if (!oldest) return std::nullopt;
  return *oldest + kSpreadTimeout;
}

schema::RosterPoll Roster::Poll(core::Instant now) {
  ReviewUnpublished(now);
  schema::RosterPoll poll;
  poll.incarnation = OwnFeed().incarnation;
  poll.number = next_poll_++;
  for (const auto& [host, feed] : feeds_) {
    // The own feed is stated so that it is not sent back.
    if (host == self_ && feed.version == 0) continue;
    poll.known.push_back({host, feed.incarnation, feed.version});
  }
  polls_.emplace(poll.number, now);
  if (polls_.size() > kMaxOpenPolls) polls_.erase(polls_.begin());
  return poll;
}

std::optional<schema::RosterPoll> Roster::PollIfAnswered(const core::HostId& to,
                                                         core::Instant now) {
  const auto last = last_polls_.find(to);
  if (last != last_polls_.end()) {
    const auto open = polls_.find(last->second);
    if (open != polls_.end() && now - open->second < kPollTimeout) {
      return std::nullopt;
    }
  }
  schema::RosterPoll poll = Poll(now);
  last_polls_[to] = poll.number;
  return poll;
}

std::optional<schema::FeedUpdate> Roster::MakeUpdate(
    const core::HostId& host, const Feed& feed, const schema::RosterPoll& poll,
    core::Instant now, core::Duration relay_delay) {
  schema::FeedUpdate update;
  update.host = host;
  update.incarnation = feed.incarnation;
  update.version = feed.version;
  update.age = now - feed.confirmed_at;
  std::uint64_t known = 0;
  UpdateReason reason = UpdateReason::kUnknown;
  for (const schema::FeedVersion& version : poll.known) {
    if (version.host != host || version.version == 0) continue;
    if (version.incarnation != feed.incarnation) {
      reason = UpdateReason::kRestarted;
      continue;
    }
    known = version.version;
    reason = known < feed.gc_version ? UpdateReason::kErased
                                     : UpdateReason::kChanges;
  }
  update.complete = reason != UpdateReason::kChanges;
  if (update.complete) known = 0;
  if (known == feed.version && !update.complete) return update;
  core::Instant arrived = now;
  for (const auto& [id, entry] : feed.entries) {
    if (entry.version <= known) continue;
    update.changes.push_back(entry.announcement);
    arrived = std::min(arrived, entry.heard_at);
  }
  for (const auto& [id, entry] : feed.hosts) {
    if (entry.version <= known) continue;
    update.hosts.push_back(entry.state);
    arrived = std::min(arrived, entry.heard_at);
  }
  if (host != self_ && now - arrived < relay_delay) return std::nullopt;
  UpdateCount& count = stats_.updates.at(static_cast<std::size_t>(reason));
  ++count.updates;
  count.upstreams += update.changes.size();
  count.hosts += update.hosts.size();
  return update;
}

schema::RosterReply Roster::Answer(const schema::RosterPoll& poll,
                                   core::Instant now,
                                   core::Duration relay_delay) {
  Expire(now);
  schema::RosterReply reply;
  reply.incarnation = poll.incarnation;
  reply.number = poll.number;
  for (const auto& [host, feed] : feeds_) {
    auto update = MakeUpdate(host, feed, poll, now, relay_delay);
    if (update) reply.feeds.push_back(*std::move(update));
  }
  return reply;
}

void Roster::Apply(const schema::RosterReply& reply, core::Instant now) {
  if (reply.incarnation != OwnFeed().incarnation) return;
  const auto poll = polls_.find(reply.number);
  if (poll == polls_.end()) return;
  const core::Instant sent = poll->second;
  polls_.erase(poll);
  for (const schema::FeedUpdate& update : reply.feeds) {
    if (update.host == self_) continue;
    ApplyFeed(update, sent - core::WithClockError(update.age), now);
  }
}

void Roster::ApplyFeed(const schema::FeedUpdate& update,
                       core::Instant confirmed_at, core::Instant now) {
  const auto [found, inserted] = feeds_.try_emplace(update.host, Feed{});
  Feed& feed = found->second;
  if (!inserted && update.incarnation < feed.incarnation) return;
  const bool restarted = inserted || update.incarnation > feed.incarnation;
  if (restarted && !update.complete) return;
  if (restarted) {
    Feed previous = std::exchange(feed, Feed{});
    KeepEndedStarts(previous, now);
    for (auto& [id, entry] : previous.entries) {
      feed.pre_restart.emplace(id, std::move(entry.announcement));
    }
    feed.restart_grace_end = now + options_.restart_grace;
    feed.incarnation = update.incarnation;
    feed.confirmed_at = confirmed_at;
  }
  if (update.version < feed.version) return;
  if (restarted || update.complete || update.version > feed.version) {
    ++changes_;
  }
  if (update.complete) {
    feed.entries.clear();
    feed.hosts.clear();
  }
  for (const schema::Announcement& change : update.changes) {
    feed.entries[change.id] = {change, update.version, now};
    feed.pre_restart.erase(change.id);
    if (!change.leaving) continue;
    CheckExpiryAt(now + TombstoneTtl(change));
    LearnLeave(change, now);
  }
  for (const schema::HostState& state : update.hosts) {
    feed.hosts[state.address.id] = {state, update.version, now};
    if (state.silent) CheckExpiryAt(now + kSilentHostRetention);
  }
  feed.version = update.version;
  feed.confirmed_at = std::max(feed.confirmed_at, confirmed_at);
}

void Roster::LearnLeave(const schema::Announcement& leaving,
                        core::Instant now) {
  ended_.Record(leaving, now);
  const auto own = OwnFeed().entries.find(leaving.id);
  if (own == OwnFeed().entries.end()) return;
  Entry& entry = own->second;
  const bool outranked = !entry.announcement.leaving &&
                         entry.announcement.sequence <= leaving.sequence;
  if (!outranked) return;
  // What this host received before must not count again once the other host's
  // feed is lost.
  schema::Announcement ended = entry.announcement;
  ended.leaving = true;
  ended.sequence = leaving.sequence;
  entry.heard_at = now;
  SetAnnouncement(entry, ended, FeedChange::kUpstreamLeft);
}

void Roster::KeepEndedStarts(const Feed& lost, core::Instant now) {
  if (!options_.keeps_leaves) return;
  for (const auto& [id, former] : lost.entries) {
    if (!EndsStart(former.announcement)) continue;
    const auto own = OwnFeed().entries.find(id);
    const bool known =
        own != OwnFeed().entries.end() &&
        own->second.announcement.sequence >= former.announcement.sequence;
    if (known) continue;
    Entry& entry = OwnFeed().entries[id];
    entry.heard_at = now;
    SetAnnouncement(entry, former.announcement, FeedChange::kUpstreamLeft);
  }
}

std::vector<schema::Announcement> Roster::Usable(core::Instant now) {
  Expire(now);
  // Announcements count only in feeds that are fresh, tombstones in all feeds.
  std::map<core::UpstreamId, const schema::Announcement*> newest;
  std::map<core::UpstreamId, std::uint64_t> tombstones;
  for (const auto& [host, feed] : feeds_) {
    const bool fresh = now - feed.confirmed_at <= options_.max_feed_age;
    const auto add = [&](const core::UpstreamId& id,
                         const schema::Announcement& announcement) {
      if (announcement.leaving) {
        std::uint64_t& sequence = tombstones[id];
        sequence = std::max(sequence, announcement.sequence);
      } else if (fresh && !ended_.Covers(announcement)) {
        const schema::Announcement*& current = newest[id];
        if (current == nullptr || current->sequence < announcement.sequence) {
          current = &announcement;
        }
      }
    };
    for (const auto& [id, entry] : feed.entries) add(id, entry.announcement);
    if (now >= feed.restart_grace_end) continue;
    for (const auto& [id, announcement] : feed.pre_restart) {
      add(id, announcement);
    }
  }
  std::erase_if(newest, [&tombstones](const auto& item) {
    const auto tombstone = tombstones.find(item.first);
    return tombstone != tombstones.end() &&
           tombstone->second >= item.second->sequence;
  });
  DropSuperseded(newest);
  std::vector<schema::Announcement> usable;
  usable.reserve(newest.size());
  for (const auto& [id, announcement] : newest) {
    usable.push_back(*announcement);
  }
  return usable;
}

void Roster::RemoveFeed(const core::HostId& host) {
  last_polls_.erase(host);
  const auto found = feeds_.find(host);
  if (host == self_ || found == feeds_.end()) return;
  const auto lost = feeds_.extract(found);
  KeepEndedStarts(lost.mapped(), OwnFeed().confirmed_at);
  ++changes_;
}

std::size_t Roster::size() const noexcept {
  std::size_t total = 0;
  for (const auto& [host, feed] : feeds_) total += feed.entries.size();
  return total;
}

}  // namespace foxquay::roster
