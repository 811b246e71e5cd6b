#include "foxquay/roster/roster.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/roster/spread.h"

namespace foxquay::roster {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kBound = std::chrono::seconds(3);

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement MakeAnnouncement(const std::string& id,
                                      std::uint64_t sequence) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.sequence = sequence;
  announcement.slots = 8;
  return announcement;
}

bool Uses(Roster& roster, const std::string& id, core::Instant now) {
  const auto usable = roster.Usable(now);
  return std::any_of(usable.begin(), usable.end(), [&](const auto& upstream) {
    return upstream.id.value() == id;
  });
}

void PollFrom(Roster& to, Roster& from, core::Instant now) {
  to.Apply(from.Answer(to.Poll(now), now), now);
}

}  // namespace

TEST_CASE("an upstream announced to one host is usable on another") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  REQUIRE(a.Announce(MakeAnnouncement("gpu", 1), At(0)));
  PollFrom(b, a, At(10));
  CHECK(Uses(b, "gpu", At(10)));
  CHECK_FALSE(a.Announce(MakeAnnouncement("gpu", 1), At(20)));
}

// Guards against control hosts that spend their time on sending each other
// their own feeds.
TEST_CASE("a reply does not carry the feed of the host that polls") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  for (int index = 0; index < 200; ++index) {
    b.Announce(MakeAnnouncement(std::to_string(index), 1), At(0));
  }
  PollFrom(a, b, At(10));
  PollFrom(b, a, At(20));
  const schema::RosterReply reply = a.Answer(b.Poll(At(30)), At(40));
  for (const schema::FeedUpdate& update : reply.feeds) {
    CHECK(update.changes.empty());
    if (update.host == core::HostId("b")) CHECK_FALSE(update.complete);
  }
}

// Guards against a partitioned host that keeps using a silent upstream.
TEST_CASE("a silent upstream is unusable on all hosts within the bound") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  PollFrom(b, a, At(1700));
  CHECK(Uses(b, "gpu", At(2600)));
  CHECK_FALSE(Uses(b, "gpu", At(2800)));
  CHECK_FALSE(Uses(a, "gpu", At(1900)));
}

// Guards against a delayed reply that makes an old copy look current.
TEST_CASE("the age of a copy counts from the poll, not from the reply") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  const schema::RosterReply reply = a.Answer(b.Poll(At(0)), At(0));
  b.Apply(reply, At(1500));
  CHECK_FALSE(Uses(b, "gpu", At(1500)));
}

// Guards against a host that resets the age of the feeds that it forwards.
TEST_CASE("the age of a copy accumulates over forwarding hosts") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  Roster c(core::HostId("c"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  PollFrom(b, a, At(0));
  PollFrom(c, b, At(900));
  CHECK(Uses(c, "gpu", At(900)));
  CHECK_FALSE(Uses(c, "gpu", At(1100)));
}

// Guards against a copy of a feed that passes for current since a host that
// has forwarded it, or has begun to own it, is.
TEST_CASE("the time of a copy is that at which the owner's feed was known") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  Roster c(core::HostId("c"), 1);
  CHECK(c.ConfirmedAt(core::HostId("a")) == std::nullopt);
  PollFrom(b, a, At(0));
  const auto poll = c.Poll(At(900));
  c.Apply(b.Answer(poll, At(1000)), At(1500));
  const auto direct = c.ConfirmedAt(core::HostId("b"));
  REQUIRE(direct);
  CHECK(*direct <= At(900));
  CHECK(*direct > At(899));
  const auto forwarded = c.ConfirmedAt(core::HostId("a"));
  REQUIRE(forwarded);
  CHECK(*forwarded <= At(0));
  CHECK(*forwarded >= At(-200));
  CHECK(c.ConfirmedAt(core::HostId("c")) == std::nullopt);

  // Only the changes since a version that this host does not have.
  schema::FeedUpdate part;
  part.host = core::HostId("d");
  part.incarnation = 1;
  part.version = 7;
  schema::RosterReply reply;
  reply.incarnation = 1;
  reply.number = c.Poll(At(2000)).number;
  reply.feeds.push_back(part);
  c.Apply(reply, At(2010));
  CHECK(c.ConfirmedAt(core::HostId("d")) == std::nullopt);
}

// Guards against requests to an upstream whose leave was acknowledged by a
// control host that the parent of the requests' host had not heard of for long.
TEST_CASE("the oldest feed of a control host bounds what leaves are known") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  Roster c(core::HostId("c"), 1);
  const core::HostId host_a("a");
  const core::HostId host_b("b");
  CHECK_FALSE(c.SpreadAsOf({host_a, host_b}));
  PollFrom(b, a, At(0));
  PollFrom(c, b, At(2000));
  const auto all = c.SpreadAsOf({host_a, host_b});
  REQUIRE(all);
  CHECK(*all <= At(0) + kSpreadTimeout);
  CHECK(*all > At(-50) + kSpreadTimeout);
  // One that is lost no longer counts.
  const auto alive = c.SpreadAsOf({host_b, core::HostId("unknown")});
  REQUIRE(alive);
  CHECK(*alive > At(1950) + kSpreadTimeout);
}

// Guards against a withdrawal that an observation of layers under way undoes.
TEST_CASE("a withdrawal outranks the announcement that it ends") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  const core::UpstreamId gpu("gpu");
  b.Announce(MakeAnnouncement("gpu", 5), At(0));
  PollFrom(a, b, At(10));
  REQUIRE(a.Withdraw(gpu, At(20)));
  PollFrom(b, a, At(30));
  CHECK(b.Newest(gpu)->leaving);
  b.ObserveLayers(gpu, schema::LayerRange{0, 8}, At(40));
  CHECK_FALSE(Uses(b, "gpu", At(40)));
}

// Guards against a restarted host whose new feed is ignored as an old one.
TEST_CASE("a new incarnation replaces the feed") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gone", 1), At(0));
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  PollFrom(b, a, At(0));
  Roster restarted(core::HostId("a"), 2);
  restarted.Announce(MakeAnnouncement("gpu", 2), At(100));
  PollFrom(b, restarted, At(100));
  CHECK(Uses(b, "gpu", At(100)));
  CHECK_FALSE(Uses(b, "gone", At(100)));
  PollFrom(b, a, At(200));
  CHECK_FALSE(Uses(b, "gone", At(200)));
}

// Guards against unbounded growth by upstreams that never return.
TEST_CASE("tombstones expire") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  PollFrom(b, a, At(0));
  a.Withdraw(core::UpstreamId("gpu"), At(100));
  PollFrom(b, a, At(100));
  CHECK_FALSE(Uses(b, "gpu", At(100)));
  PollFrom(b, a, At(20000));
  CHECK_FALSE(Uses(b, "gpu", At(20000)));
  CHECK(a.size() == 0);
  CHECK(b.size() == 0);
}

// Guards against an incremental reply that lacks the departure of an upstream
// because the sender has already erased its tombstone.
TEST_CASE("a copy that missed a tombstone is replaced as a whole") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  PollFrom(b, a, At(0));
  a.Withdraw(core::UpstreamId("gpu"), At(100));
  PollFrom(b, a, At(20000));
  CHECK_FALSE(Uses(b, "gpu", At(20000)));
}

// Guards against a restarted host that applies the reply to a poll which its
// previous incarnation sent with the same number.
TEST_CASE("a reply to a previous incarnation is ignored") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 1), At(0));
  const schema::RosterReply late = a.Answer(b.Poll(At(0)), At(0));
  Roster restarted(core::HostId("b"), 2);
  const schema::RosterPoll lost = restarted.Poll(At(3000));
  REQUIRE(lost.number == late.number);
  restarted.Apply(late, At(3000));
  CHECK_FALSE(Uses(restarted, "gpu", At(3000)));
}

namespace {

/// Three hosts and the replies between them, which may be lost, delayed or
/// repeated. The oracle records when each upstream was last announced and when
/// it left.
class Simulation {
 public:
  void Step() {
    now_ += milliseconds(*rc::gen::inRange(1, 400));
    const int upstream = *rc::gen::inRange(0, kUpstreams);
    const std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
    const std::size_t other = *rc::gen::inRange<std::size_t>(0, kHosts);
    const int command = *rc::gen::inRange(0, 7);
    RC_LOG() << "at " << (now_ - At(0)) / milliseconds(1) << " ms command "
             << command << " upstream " << upstream << " hosts " << host << " "
             << other << "\n";
    switch (command) {
      case 0:
      case 1:
        Renew(host, upstream);
        break;
      case 2:
        AnnounceLeaving(host, upstream);
        break;
      case 3:
        hosts_[host] = Roster(Name(host), ++incarnation_);
        break;
      case 4:
      case 5:
        SendPoll(host, other);
        break;
      default:
        Deliver();
    }
    Check();
  }

 private:
  static constexpr std::size_t kHosts = 3;
  static constexpr int kUpstreams = 2;

  static core::HostId Name(std::size_t host) {
    return core::HostId(std::string(1, static_cast<char>('a' + host)));
  }

  static std::string Upstream(int upstream) {
    return "gpu-" + std::to_string(upstream);
  }

  void Renew(std::size_t host, int upstream) {
    hosts_[host].Announce(MakeAnnouncement(Upstream(upstream), ++sequence_),
                          now_);
    last_renewed_[upstream] = now_;
    left_at_.erase(upstream);
  }

  void AnnounceLeaving(std::size_t host, int upstream) {
    schema::Announcement leaving =
        MakeAnnouncement(Upstream(upstream), ++sequence_);
    leaving.leaving = true;
    hosts_[host].Announce(leaving, now_);
    left_at_.try_emplace(upstream, now_);
  }

  void SendPoll(std::size_t host, std::size_t other) {
    if (host == other) return;
    replies_.emplace_back(host,
                          hosts_[other].Answer(hosts_[host].Poll(now_), now_));
  }

  void Deliver() {
    if (replies_.empty()) return;
    const std::size_t index =
        *rc::gen::inRange<std::size_t>(0, replies_.size());
    auto [host, reply] = replies_[index];
    if (*rc::gen::inRange(0, 4) > 0) {
      replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    RC_LOG() << "  reply " << reply.number << " reaches " << host << "\n";
    hosts_[host].Apply(reply, now_);
  }

  core::Duration Since(const std::map<int, core::Instant>& times,
                       int upstream) const {
    const auto found = times.find(upstream);
    return found == times.end() ? core::Duration::max() : now_ - found->second;
  }

  void Check() {
    for (Roster& host : hosts_) {
      for (int upstream = 0; upstream < kUpstreams; ++upstream) {
        if (!Uses(host, Upstream(upstream), now_)) continue;
        RC_ASSERT(Since(last_renewed_, upstream) <= kBound);
        const bool left = left_at_.contains(upstream);
        const bool late = left && Since(left_at_, upstream) > kBound;
        RC_ASSERT(!late);
      }
    }
  }

  std::array<Roster, kHosts> hosts_{Roster(Name(0), 1), Roster(Name(1), 1),
                                    Roster(Name(2), 1)};
  std::vector<std::pair<std::size_t, schema::RosterReply>> replies_;
  std::map<int, core::Instant> last_renewed_;
  std::map<int, core::Instant> left_at_;
  core::Instant now_ = At(0);
  std::uint64_t sequence_ = 0;
  std::uint64_t incarnation_ = 1;
};

}  // namespace

// Guards against a host that gives work to an upstream more than 3 s after the
// upstream became silent or left, when replies are lost, delayed, repeated or
// reordered and hosts restart.
TEST_CASE("no host uses a departed upstream beyond the bound", "[fuzz]") {
  REQUIRE(rc::check("departed upstreams", [] {
    Simulation simulation;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) simulation.Step();
  }));
}

// Guards against the loss of all upstreams when all control hosts restart at
// the same time. Upstreams announce themselves less often than hosts need to
// know them.
TEST_CASE("the upstreams of a restarted host stay usable for a grace period") {
  Options options;
  options.restart_grace = milliseconds(500);
  Roster b(core::HostId("b"), 1, options);
  Roster old(core::HostId("a"), 1);
  old.Announce(MakeAnnouncement("kept", 1), At(0));
  old.Announce(MakeAnnouncement("left", 1), At(0));
  PollFrom(b, old, At(10));
  Roster restarted(core::HostId("a"), 2);
  PollFrom(b, restarted, At(100));
  CHECK(Uses(b, "kept", At(110)));
  restarted.Announce(MakeAnnouncement("kept", 2), At(300));
  schema::Announcement left = MakeAnnouncement("left", 2);
  left.leaving = true;
  restarted.Announce(left, At(300));
  PollFrom(b, restarted, At(310));
  CHECK_FALSE(Uses(b, "left", At(320)));
  PollFrom(b, restarted, At(700));
  CHECK(Uses(b, "kept", At(710)));
}

TEST_CASE(
    "an upstream may be withdrawn at a host that it did not announce to") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("gpu", 5), At(0));
  PollFrom(b, a, At(10));
  REQUIRE(b.Withdraw(core::UpstreamId("gpu"), At(20)));
  CHECK_FALSE(Uses(b, "gpu", At(30)));
  PollFrom(a, b, At(40));
  CHECK_FALSE(Uses(a, "gpu", At(50)));
  a.Announce(MakeAnnouncement("gpu", 6), At(60));
  CHECK(Uses(a, "gpu", At(70)));
}

// Guards against an upstream that is used again after it has withdrawn, as a
// heartbeat of its arrives late, or as a host that it announced to before still
// reaches it.
TEST_CASE("announcements do not undo the withdrawal of their start") {
  const bool elsewhere = GENERATE(false, true);
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  Roster c(core::HostId("c"), 1);
  schema::Announcement announced = MakeAnnouncement("gpu", 100);
  announced.born = core::WallTime(milliseconds(1000));
  a.Announce(announced, At(0));
  PollFrom(b, a, At(10));
  PollFrom(c, a, At(10));
  announced.sequence = 140;  // Not sent to others, as nothing has changed.
  a.Announce(announced, At(500));
  REQUIRE((elsewhere ? b : a).Leave(core::UpstreamId("gpu"), At(600)));
  PollFrom(a, b, At(700));
  PollFrom(b, a, At(700));
  announced.sequence = 142;
  announced.load = 4;
  a.Announce(announced, At(800));
  PollFrom(c, a, At(900));
  PollFrom(c, b, At(900));
  CHECK_FALSE(Uses(a, "gpu", At(900)));
  CHECK_FALSE(Uses(b, "gpu", At(900)));
  CHECK_FALSE(Uses(c, "gpu", At(900)));
  // Nor is it kept by probes until the withdrawal has expired.
  CHECK(a.Silent(milliseconds(100), At(1000)).empty());

  announced.sequence = 100 + 2 * kStartSequences;
  announced.born = core::WallTime(milliseconds(5000));
  a.Announce(announced, At(1000));
  PollFrom(c, a, At(1100));
  CHECK(Uses(c, "gpu", At(1100)));
}

namespace {

/// Three control hosts and an entry host that follows them. Upstream `gpu` has
/// announced itself to `a`, then to `b`, and has left at `b`, which all know.
class LeaveFleet {
 public:
  LeaveFleet() {
    announced_ = MakeAnnouncement("gpu", 2 * kStartSequences);
    announced_.born = core::WallTime(milliseconds(1000));
    Announce(0, At(0));
    Announce(1, At(500));
    PollAll(At(600));
    REQUIRE(hosts_[1].Leave(core::UpstreamId("gpu"), At(700)));
    PollAll(At(800));
  }

  /// Polls between all hosts, and probes of upstreams that are silent, which
  /// all succeed.
  void PollAll(core::Instant now) {
    for (Roster& to : hosts_) {
      for (std::size_t from = 0; from < kControls; ++from) {
        if (&to != &hosts_[from]) PollFrom(to, hosts_[from], now);
      }
    }
    for (Roster& host : hosts_) {
      for (const auto& silent : host.Silent(milliseconds(750), now)) {
        host.Renew(silent.id, now);
      }
    }
  }
  void RunUntil(int from_ms, int until_ms) {
    for (int ms = from_ms; ms <= until_ms; ms += 200) PollAll(At(ms));
  }
  /// A heartbeat that was sent before the upstream left.
  void Announce(std::size_t host, core::Instant now) {
    announced_.sequence += 2;
    (void)hosts_[host].Announce(announced_, now);
  }
  void AnnounceNewStart(std::size_t host, core::Instant now) {
    schema::Announcement anew = announced_;
    anew.sequence = 9 * kStartSequences;
    anew.born += milliseconds(5000);
    REQUIRE(hosts_[host].Announce(anew, now));
  }
  void Restart(std::size_t host) {
    hosts_[host] = Roster(Name(host), ++incarnation_);
  }
  /// Returns whether any host uses the upstream.
  [[nodiscard]] bool Used(core::Instant now) {
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [now](Roster& host) { return Uses(host, "gpu", now); });
  }
  [[nodiscard]] bool UsedByEntry(core::Instant now) {
    return Uses(hosts_.back(), "gpu", now);
  }

 private:
  static constexpr std::size_t kControls = 3;

  static core::HostId Name(std::size_t host) {
    return core::HostId(std::string(1, static_cast<char>('a' + host)));
  }

  schema::Announcement announced_;
  std::uint64_t incarnation_ = 1;
  std::array<Roster, kControls + 1> hosts_{
      Roster(Name(0), 1), Roster(Name(1), 1), Roster(Name(2), 1),
      Roster(Name(3), 1)};
};

}  // namespace

// Guards against an acknowledged leave that is forgotten with the process of
// the control host that acknowledged it.
TEST_CASE("an acknowledged leave outlives the hosts that acknowledged it") {
  LeaveFleet fleet;
  SECTION("one restarts") { fleet.Restart(1); }
  SECTION("all that had a heartbeat restart in turn") {
    fleet.Restart(1);
    fleet.RunUntil(1000, 1400);
    fleet.Restart(0);
  }
  SECTION("all restart in turn") {
    for (const std::size_t host : {1, 0, 2}) {
      fleet.Restart(host);
      fleet.RunUntil(1000, 1400);
    }
  }
  fleet.RunUntil(1600, 20000);
  CHECK_FALSE(fleet.Used(At(20000)));
  fleet.AnnounceNewStart(2, At(20100));
  fleet.PollAll(At(20200));
  CHECK(fleet.UsedByEntry(At(20200)));
}

// Guards against a late heartbeat that makes an upstream usable once the
// tombstone of its leave has expired or was lost.
TEST_CASE("no late heartbeat undoes a leave") {
  LeaveFleet fleet;
  const bool restarts = GENERATE(false, true);
  CAPTURE(restarts);
  if (restarts) {
    for (const std::size_t host : {0, 1, 2}) fleet.Restart(host);
  }
  int now = 1000;
  for (const int age : {6000, 11000, 60000}) {
    fleet.RunUntil(now, age);
    fleet.Announce(static_cast<std::size_t>(age % 3), At(age));
    fleet.RunUntil(age + 100, age + 2000);
    CHECK_FALSE(fleet.UsedByEntry(At(age + 2000)));
    now = age + 2200;
  }
}

// Guards against tombstones that use up memory when hosts are told of many
// starts, and against a memory that keeps an upstream out after its retention.
TEST_CASE("ended starts are forgotten in time, and the oldest make room") {
  EndedStarts ended;
  const auto end_of = [](std::uint64_t index) {
    schema::Announcement announcement =
        MakeAnnouncement("u" + std::to_string(index), 1);
    announcement.born = core::WallTime(milliseconds(1000));
    return EndOf(announcement);
  };
  for (std::uint64_t index = 0; index <= kMaxEndedStarts; ++index) {
    ended.Record(end_of(index), At(static_cast<int>(index)));
  }
  CHECK(ended.size() == kMaxEndedStarts);
  CHECK_FALSE(ended.Covers(end_of(0)));
  CHECK(ended.Covers(end_of(kMaxEndedStarts)));
  ended.Expire(At(static_cast<int>(kMaxEndedStarts)) + kEndedStartRetention +
               milliseconds(1));
  CHECK(ended.size() == 0);
  schema::Announcement silent = MakeAnnouncement("silent", 7);
  silent.leaving = true;
  ended.Record(silent, At(0));
  CHECK(ended.size() == 0);
}

// The address of an upstream that ended may be reused.
TEST_CASE("of two upstreams at one address only the later one is usable") {
  Roster a(core::HostId("a"), 1);
  schema::Announcement former = MakeAnnouncement("former", 9);
  former.address = "10.0.0.1:80";
  former.born = core::WallTime(milliseconds(1000));
  schema::Announcement later = MakeAnnouncement("later", 1);
  later.address = former.address;
  later.born = core::WallTime(milliseconds(2000));
  a.Announce(later, At(0));
  a.Announce(former, At(10));
  CHECK(Uses(a, "later", At(20)));
  CHECK_FALSE(Uses(a, "former", At(20)));
}

TEST_CASE("only overdue upstreams with no newer announcement are silent") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.Announce(MakeAnnouncement("moved", 2), At(0));
  a.Announce(MakeAnnouncement("mute", 2), At(0));
  a.Announce(MakeAnnouncement("fresh", 2), At(900));
  b.Announce(MakeAnnouncement("moved", 4), At(500));
  PollFrom(a, b, At(600));
  const auto silent = a.Silent(milliseconds(750), At(1000));
  REQUIRE(silent.size() == 1);
  CHECK(silent[0].id.value() == "mute");
  a.Renew(core::UpstreamId("mute"), At(1000));
  CHECK(a.Silent(milliseconds(750), At(1100)).empty());
}

// The leader observes the loaded layers before the upstream announces them.
TEST_CASE("observed layers are valid until the next announcement") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  schema::Announcement worker = MakeAnnouncement("gpu", 4);
  worker.unplaced = true;
  a.Announce(worker, At(0));
  PollFrom(b, a, At(10));
  b.ObserveLayers(worker.id, schema::LayerRange{3, 8}, At(20));
  PollFrom(a, b, At(30));
  REQUIRE(a.Usable(At(40)).size() == 1);
  CHECK(a.Usable(At(40))[0].layers == schema::LayerRange{3, 8});
  CHECK_FALSE(a.Usable(At(40))[0].unplaced);
  worker.sequence = 6;
  worker.unplaced = false;
  worker.layers = {1, 2};
  a.Announce(worker, At(50));
  CHECK(a.Usable(At(60))[0].layers == schema::LayerRange{1, 2});
}

schema::HostState MakeHost(const std::string& id, std::uint64_t incarnation,
                           std::uint64_t number) {
  schema::HostState state;
  state.address.id = core::HostId(id);
  state.address.incarnation = incarnation;
  state.number = number;
  state.admitting = true;
  return state;
}

const schema::HostState* Find(const std::vector<schema::HostState>& hosts,
                              const std::string& id) {
  for (const schema::HostState& host : hosts) {
    if (host.address.id.value() == id) return &host;
  }
  return nullptr;
}

TEST_CASE("a host is silent everywhere once it stops reporting") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.HearHost(MakeHost("h", 1, 1), At(0));
  PollFrom(b, a, At(100));
  REQUIRE(Find(b.Hosts(At(100)), "h") != nullptr);
  CHECK_FALSE(Find(b.Hosts(At(100)), "h")->silent);
  PollFrom(b, a, At(1600));
  CHECK(Find(b.Hosts(At(1600)), "h")->silent);
  PollFrom(b, a, At(62000));
  CHECK(Find(b.Hosts(At(62000)), "h") == nullptr);
}

// Guards against a host that is taken out of service while it moves to another
// control host, and against its state before the move.
TEST_CASE("a host that reports to another control host stays in service") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.HearHost(MakeHost("h", 1, 5), At(0));
  schema::HostState draining = MakeHost("h", 1, 9);
  draining.draining = true;
  b.HearHost(draining, At(1400));
  for (const int ms : {1450, 1600, 2000}) {
    b.HearHost(draining, At(ms));
    PollFrom(a, b, At(ms));
    const auto hosts = a.Hosts(At(ms));
    CHECK_FALSE(Find(hosts, "h")->silent);
    CHECK(Find(hosts, "h")->draining);
  }
}

TEST_CASE("the hosts of a control host that is cut off become silent") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.HearHost(MakeHost("h", 1, 1), At(0));
  PollFrom(b, a, At(0));
  CHECK_FALSE(Find(b.Hosts(At(2400)), "h")->silent);
  CHECK(Find(b.Hosts(At(2600)), "h")->silent);
}

// The incarnation of a host is its wall clock at the start, which may be set
// back.
TEST_CASE("a host that restarts with a smaller incarnation is heard again") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  a.HearHost(MakeHost("h", 9, 1), At(0));
  PollFrom(b, a, At(0));
  b.HearHost(MakeHost("h", 3, 1), At(1700));
  PollFrom(b, a, At(1700));
  const auto hosts = b.Hosts(At(1700));
  CHECK_FALSE(Find(hosts, "h")->silent);
  CHECK(Find(hosts, "h")->address.incarnation == 3);
}

// Guards against traffic that grows with the cluster while nothing changes.
TEST_CASE("reports without a change are not sent again") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  for (int index = 0; index < 300; ++index) {
    a.HearHost(MakeHost("h" + std::to_string(index), 1, 1), At(0));
  }
  const auto first = a.Answer(b.Poll(At(0)), At(0));
  CHECK(first.feeds.front().hosts.size() == 300);
  b.Apply(first, At(0));
  for (int index = 0; index < 300; ++index) {
    a.HearHost(MakeHost("h" + std::to_string(index), 1, 2), At(250));
  }
  const std::uint64_t changes = b.changes();
  const auto second = a.Answer(b.Poll(At(250)), At(250));
  CHECK(second.feeds.front().hosts.empty());
  CHECK(second.feeds.front().changes.empty());
  b.Apply(second, At(250));
  CHECK(b.changes() == changes);
}

}  // namespace foxquay::roster
