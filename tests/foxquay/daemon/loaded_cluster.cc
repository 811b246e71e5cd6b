#include "loaded_cluster.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace foxquay::daemon {
namespace internal {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr core::Duration kStep = milliseconds(1);
constexpr core::Duration kDelay = milliseconds(1);
constexpr core::Duration kDisk = milliseconds(2);
/// Times that messages take a control host of 0.075 cores, from the line
/// peer_messages of plays of the large site; the time to read and check a
/// message comes on top.
constexpr core::Duration kReadTime = microseconds(100);
constexpr core::Duration kFollowerPollTime = microseconds(450);
constexpr core::Duration kQuestionTime = microseconds(150);
constexpr core::Duration kRosterTime = microseconds(250);
constexpr core::Duration kConsensusTime = microseconds(200);
constexpr core::Duration kTickTime = microseconds(500);
/// For each state or announcement that a reply holds; the kernel takes about as
/// long again to send it.
constexpr core::Duration kItemTime = microseconds(11);
/// Part of a control host's time that heartbeats of upstreams, logs and metrics
/// take.
constexpr double kOtherWork = 0.3;
constexpr core::Duration kControlTick = milliseconds(25);
constexpr core::Duration kHostTick = membership::kFollowInterval / 5;
/// Nine tenths of the shortest time to a revocation.
constexpr core::Duration kLease = milliseconds(4500);
constexpr core::Duration kStartSpread = milliseconds(500);
constexpr core::Duration kHeartbeat = milliseconds(600);
/// Time between two looks of a host at who follows.
constexpr core::Duration kReview = milliseconds(1000);

constexpr const char* kLeaving = "upstream-0";

core::HostId ControlId(std::size_t index) {
  return core::HostId("10." + std::to_string(index + 1) + ".0.5");
}

consensus::Replica MakeReplica(std::size_t index,
                               const LoadedClusterOptions& options) {
  consensus::Options settings;
  settings.self = {ControlId(index), index + 1};
  for (std::size_t other = 0; other < options.controls; ++other) {
    (other < 3 ? settings.founders : settings.standbys)
        .push_back(ControlId(other));
  }
  settings.voters = std::min<std::size_t>(5, options.controls);
  settings.seed = options.seed * 1000 + index;
  return {settings, consensus::PersistentState{}, core::Instant()};
}

roster::Options RosterOptions() {
  roster::Options options;
  options.announcement_ttl = std::chrono::seconds(6);
  options.max_feed_age = kLease;
  options.restart_grace = std::chrono::seconds(6);
  return options;
}

std::size_t CountItems(const schema::RosterReply& reply) {
  std::size_t items = 0;
  for (const schema::FeedUpdate& feed : reply.feeds) {
    items += feed.changes.size() + feed.hosts.size();
  }
  return items;
}

}  // namespace internal

LoadedCluster::LoadedCluster(const LoadedClusterOptions& options)
    : options_(options) {
  std::mt19937_64 random(options.seed);
  std::vector<membership::ParentCandidate> candidates;
  for (std::size_t index = 0; index < options.controls; ++index) {
    const core::HostId id = internal::ControlId(index);
    candidates.push_back({id, false});
    controls_.push_back({id, internal::MakeReplica(index, options),
                         roster::Roster(id, 1, internal::RosterOptions()),
                         roster::Spread(id, 1)});
  }
  const std::size_t zones = std::max<std::size_t>(1, options.controls);
  for (std::size_t index = 0; index < options.hosts; ++index) {
    const std::size_t zone = index % zones;
    const std::string ip = "10." + std::to_string(zone + 1) + ".2." +
                           std::to_string(index / zones);
    schema::HostAddress address;
    address.id = core::HostId(ip);
    address.incarnation = 1;
    address.peer = ip + ":7380";
    address.caller = ip + ":8080";
    address.partner = ip + ":7381";
    address.data_centre = core::DataCentreId("zone-" + std::to_string(zone));
    address.region = core::RegionId("region");
    const core::HostId id = address.id;
    const core::Duration starts = internal::kStartSpread *
                                  static_cast<std::int64_t>(random() % 1000) /
                                  1000;
    hosts_.push_back({std::move(address),
                      roster::Roster(id, 1, internal::RosterOptions()),
                      membership::ParentSelector(id), starts});
    auto near = candidates;
    near[zone].near = true;
    hosts_.back().selector.SetCandidates(std::move(near));
  }
}

void LoadedCluster::Stop(std::size_t control) {
  controls_[control].stopped = true;
  controls_[control].queue.clear();
}

void LoadedCluster::Run(core::Duration length) {
  run_length_ = length;
  moves_ = 0;
  for (Control& control : controls_) control.spent = {};
  const core::Duration end = now_ + length;
  while (now_ < end) {
    now_ += internal::kStep;
    Announce();
    Deliver();
    for (std::size_t index = 0; index < hosts_.size(); ++index) RunHost(index);
    for (std::size_t index = 0; index < controls_.size(); ++index) {
      RunControl(index);
    }
    if (left_at_) FollowLeave();
  }
}

void LoadedCluster::Leave() {
  left_at_ = now_;
  unaware_.resize(hosts_.size());
  std::iota(unaware_.begin(), unaware_.end(), std::size_t{0});
  roster::Roster& roster = controls_.front().roster;
  (void)roster.Withdraw(core::UpstreamId(internal::kLeaving), Now());
  const auto version =
      roster.LeavingSince(core::UpstreamId(internal::kLeaving));
  controls_.front().spread.Await(1, version.value_or(UINT64_MAX),
                                 Now() + roster::kSpreadTimeout);
}

bool LoadedCluster::KnowsLeave(const roster::Roster& roster) {
  const auto newest = roster.Newest(core::UpstreamId(internal::kLeaving));
  return newest && newest->leaving;
}

void LoadedCluster::FollowLeave() {
  const core::Duration since = now_ - *left_at_;
  std::vector<core::HostId> others;
  for (const Control& control : controls_) {
    if (&control != &controls_.front() && !control.stopped) {
      others.push_back(control.id);
    }
  }
  for (const auto& settled : controls_.front().spread.Take(others, Now())) {
    leave_.acknowledged = since;
    leave_.incomplete = !settled.lacking.empty();
  }
  const bool controls = std::all_of(
      controls_.begin(), controls_.end(), [](const Control& control) {
        return control.stopped || KnowsLeave(control.roster);
      });
  if (controls && !leave_.controls) leave_.controls = since;
  std::erase_if(unaware_, [this](std::size_t index) {
    return KnowsLeave(hosts_[index].roster);
  });
  const auto misled = static_cast<std::size_t>(std::count_if(
      unaware_.begin(), unaware_.end(), [this](std::size_t index) {
        return std::any_of(
            controls_.begin(), controls_.end(), [&](const Control& control) {
              const auto confirmed =
                  hosts_[index].roster.ConfirmedAt(control.id);
              return leave_.acknowledged && confirmed &&
                     *confirmed >=
                         core::Instant(*left_at_ + *leave_.acknowledged);
            });
      }));
  if (unaware_.empty() && !leave_.hosts) leave_.hosts = since;
  leave_.misled = std::max(leave_.misled, misled);
}

void LoadedCluster::Announce() {
  if (now_ < next_announcements_) return;
  next_announcements_ = now_ + internal::kHeartbeat;
  ++announcements_;
  for (std::size_t index = 0; index < options_.upstreams; ++index) {
    Control& control = controls_[index % controls_.size()];
    if (control.stopped || (left_at_ && index == 0)) continue;
    schema::Announcement announcement;
    announcement.id = core::UpstreamId("upstream-" + std::to_string(index));
    announcement.sequence = announcements_;
    announcement.address = "10.0.1." + std::to_string(index) + ":8080";
    announcement.service = core::ServiceId("service");
    (void)control.roster.Announce(announcement, Now());
  }
}

void LoadedCluster::Send(std::size_t from, std::size_t to, Content content) {
  Control& control = controls_[to];
  if (control.stopped) return;
  const core::Duration delay = std::holds_alternative<Written>(content)
                                   ? internal::kDisk
                                   : internal::kDelay;
  Message message{from, now_ + delay, std::move(content)};
  const auto later = std::upper_bound(
      control.queue.begin(), control.queue.end(), message.arrives,
      [](core::Duration time, const Message& item) {
        return time < item.arrives;
      });
  control.queue.insert(later, std::move(message));
}

void LoadedCluster::RunControl(std::size_t index) {
  Control& control = controls_[index];
  if (control.stopped) return;
  while (control.free_at <= now_) {
    const auto time = HandleNext(index);
    if (!time) return;
    const core::Duration taken =
        core::Scale(*time, slowdown_ / (1 - internal::kOtherWork));
    control.free_at = std::max(control.free_at, now_ - internal::kStep) + taken;
    control.spent += taken;
  }
}

bool LoadedCluster::IsPoll(const Content& content) {
  return std::holds_alternative<FollowerQuestion>(content) ||
         std::holds_alternative<Question>(content);
}

std::optional<core::Duration> LoadedCluster::HandleNext(std::size_t index) {
  Control& control = controls_[index];
  if (now_ >= control.next_tick) {
    control.next_tick = now_ + internal::kControlTick;
    return Tick(index);
  }
  if (!control.queue.empty() && control.queue.front().arrives <= now_) {
    Message message = std::move(control.queue.front());
    control.queue.pop_front();
    if (!IsPoll(message.content)) {
      return internal::kReadTime + Handle(index, message);
    }
    if (const auto* poll = std::get_if<FollowerQuestion>(&message.content)) {
      control.roster.HearHost(poll->state, Now());
    }
    const core::HostId& sender = hosts_[message.from].address.id;
    control.polls.Push(sender, std::move(message), Now());
    return internal::kReadTime;
  }
  const auto poll = control.polls.Pop(Now());
  if (!poll) return std::nullopt;
  return Handle(index, *poll);
}

core::Duration LoadedCluster::Tick(std::size_t index) {
  Control& control = controls_[index];
  core::Duration time = internal::kTickTime + Perform(index, consensus::Tick{});
  control.roster.SetHostSilence(control.polls.Behind(Now())
                                    ? roster::kBehindHostSilence
                                    : roster::kHostSilence);
  if (now_ < control.next_poll) return time;
  control.next_poll = now_ + roster::kPollInterval;
  schema::HostState own;
  own.address.id = control.id;
  own.address.incarnation = 1;
  own.address.control = true;
  own.number = ++control.reports;
  own.admitting = control.replica.FreshAsOf().has_value();
  control.roster.HearHost(own, Now());
  for (std::size_t other = 0; other < controls_.size(); ++other) {
    if (other == index) continue;
    auto poll = control.roster.PollIfAnswered(controls_[other].id, Now());
    if (poll) Send(index, other, *std::move(poll));
  }
  if (now_ < control.next_heard) return time;
  control.next_heard = now_ + roster::kHeardInterval;
  for (std::size_t other = 0; other < controls_.size(); ++other) {
    if (other != index) Send(index, other, control.roster.Heard(Now()));
  }
  return time;
}

core::Duration LoadedCluster::Perform(std::size_t index,
                                      const consensus::Event& event) {
  Control& control = controls_[index];
  core::Duration time{};
  for (consensus::Action& action : control.replica.Handle(event, Now())) {
    if (auto* send = std::get_if<consensus::Send>(&action)) {
      for (std::size_t other = 0; other < controls_.size(); ++other) {
        if (controls_[other].id != send->to) continue;
        Send(index, other, std::move(send->message));
        time += internal::kReadTime;
      }
    } else if (auto* persist = std::get_if<consensus::Persist>(&action)) {
      Send(index, index, Written{persist->write_id});
    } else if (auto* saved = std::get_if<consensus::SaveSnapshot>(&action)) {
      Send(index, index, Written{saved->write_id});
    } else if (std::holds_alternative<consensus::TakeSnapshot>(action)) {
      time += Perform(
          index, consensus::SnapshotTaken{control.replica.applied(), "state"});
    }
  }
  return time;
}

core::Duration LoadedCluster::Handle(std::size_t index,
                                     const Message& message) {
  Control& control = controls_[index];
  const auto confirmed = control.replica.FreshAsOf();
  const auto age = confirmed ? std::optional(Now() - *confirmed) : std::nullopt;
  if (const auto* poll = std::get_if<FollowerQuestion>(&message.content)) {
    Reply reply{now_,  message.from,
                index, poll->asked,
                age,   control.roster.Answer(poll->roster, Now())};
    const core::Duration items =
        internal::kItemTime *
        static_cast<std::int64_t>(internal::CountItems(*reply.roster));
    replies_.push_back(std::move(reply));
    return internal::kFollowerPollTime + items * 2;
  }
  if (const auto* question = std::get_if<Question>(&message.content)) {
    replies_.push_back({now_, message.from, index, question->asked, age, {}});
    return internal::kQuestionTime;
  }
  if (const auto* poll = std::get_if<schema::RosterPoll>(&message.content)) {
    control.spread.Record(controls_[message.from].id, *poll);
    schema::RosterReply reply =
        control.roster.Answer(*poll, Now(), roster::kRelayDelay);
    const auto items = static_cast<std::int64_t>(internal::CountItems(reply));
    Send(index, message.from, std::move(reply));
    return internal::kRosterTime + internal::kItemTime * items * 2;
  }
  if (const auto* reply = std::get_if<schema::RosterReply>(&message.content)) {
    control.roster.Apply(*reply, Now());
    return internal::kRosterTime +
           internal::kItemTime *
               static_cast<std::int64_t>(internal::CountItems(*reply));
  }
  if (const auto* heard = std::get_if<schema::HeardHosts>(&message.content)) {
    control.roster.Renew(controls_[message.from].id, *heard, Now());
    return internal::kRosterTime;
  }
  if (const auto* written = std::get_if<Written>(&message.content)) {
    return Perform(index, consensus::Persisted{written->id});
  }
  const auto& content = std::get<schema::ConsensusMessage>(message.content);
  return internal::kConsensusTime +
         Perform(index, consensus::Received{content});
}

void LoadedCluster::Deliver() {
  while (!replies_.empty() &&
         replies_.front().arrives + internal::kDelay <= now_) {
    const Reply reply = std::move(replies_.front());
    replies_.pop_front();
    Host& host = hosts_[reply.host];
    if (reply.age) {
      const core::Duration at = reply.asked - core::WithClockError(*reply.age);
      host.confirmed = std::max(host.confirmed.value_or(at), at);
    }
    host.selector.HandleReply(controls_[reply.control].id, reply.age, Now());
    if (reply.roster) host.roster.Apply(*reply.roster, Now());
  }
}

void LoadedCluster::RunHost(std::size_t index) {
  Host& host = hosts_[index];
  // Their timers are spread.
  const auto step =
      now_ / internal::kStep + static_cast<std::int64_t>(index) * 7;
  if (now_ < host.starts || step % (internal::kHostTick / internal::kStep)) {
    return;
  }
  if (now_ >= host.next_review) {
    host.next_review = now_ + internal::kReview;
    const auto known = host.roster.Hosts(Now());
    host.selector.SetFollowers(static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(),
        [](const auto& state) { return !state.address.control; })));
  }
  const auto former = host.selector.parent();
  for (const core::HostId& to : host.selector.Due(Now())) {
    const auto control = static_cast<std::size_t>(
        std::find_if(controls_.begin(), controls_.end(),
                     [&to](const Control& item) { return item.id == to; }) -
        controls_.begin());
    if (host.selector.parent() != to) {
      if (host.confirmed) Send(index, control, Question{now_});
      continue;
    }
    schema::HostState state;
    state.address = host.address;
    state.number = ++host.reports;
    state.admitting = Serves(host);
    Send(index, control,
         FollowerQuestion{state, host.roster.Poll(Now()), now_});
  }
  if (former && former != host.selector.parent()) ++moves_;
}

bool LoadedCluster::Serves(const Host& host) const {
  return host.confirmed && now_ < *host.confirmed + internal::kLease;
}

std::optional<std::size_t> LoadedCluster::leader() const {
  std::optional<std::size_t> found;
  for (std::size_t index = 0; index < controls_.size(); ++index) {
    if (controls_[index].replica.role() != consensus::Role::kLeader) continue;
    if (found) return std::nullopt;
    found = index;
  }
  return found;
}

std::size_t LoadedCluster::serving() const {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(),
                    [this](const Host& host) { return Serves(host); }));
}

double LoadedCluster::busy() const {
  core::Duration most{};
  for (const Control& control : controls_) {
    most = std::max(most, control.spent);
  }
  return static_cast<double>(most.count()) /
         static_cast<double>(run_length_.count());
}

std::uint64_t LoadedCluster::term() const {
  std::uint64_t term = 0;
  for (const Control& control : controls_) {
    term = std::max(term, control.replica.term());
  }
  return term;
}

}  // namespace foxquay::daemon
