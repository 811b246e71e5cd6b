#include "foxquay/roster/spread.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "foxquay/roster/roster.h"

namespace foxquay::roster {
namespace {

using std::chrono::milliseconds;

const core::HostId kSelf("a");
const core::HostId kOther("b");
const core::HostId kBusy("c");
const std::vector<core::HostId> kOthers{kOther, kBusy};

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::RosterPoll MakePoll(std::uint64_t number, std::uint64_t version,
                            std::uint64_t feed_incarnation = 7,
                            std::uint64_t incarnation = 1) {
  schema::RosterPoll poll;
  poll.incarnation = incarnation;
  poll.number = number;
  poll.known = {{kSelf, feed_incarnation, version}};
  return poll;
}

bool Uses(Roster& roster, core::Instant now) {
  return !roster.Usable(now).empty();
}

schema::Announcement Announced(std::uint64_t sequence, bool leaving) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId("u");
  announcement.sequence = sequence;
  announcement.leaving = leaving;
  return announcement;
}

void PollFrom(Roster& to, Roster& from, core::Instant now) {
  to.Apply(from.Answer(to.Poll(now), now, kRelayDelay), now);
}

}  // namespace

// Guards against a leave that is acknowledged while a control host is current
// without it.
TEST_CASE("a version is spread when the last busy host states that it has it") {
  Spread spread(kSelf, 7);
  spread.Record(kOther, MakePoll(1, 4));
  spread.Record(kBusy, MakePoll(1, 4));
  spread.Await(1, 5, At(800));
  CHECK(spread.Take(kOthers, At(0)).empty());
  spread.Record(kOther, MakePoll(2, 9));
  CHECK(spread.Take(kOthers, At(200)).empty());
  // Polled before the answer to its first poll arrived.
  spread.Record(kBusy, MakePoll(2, 4));
  CHECK(spread.Take(kOthers, At(600)).empty());
  spread.Record(kBusy, MakePoll(3, 5));
  const auto settled = spread.Take(kOthers, At(700));
  REQUIRE(settled.size() == 1);
  CHECK(settled[0].task == 1);
  CHECK(settled[0].lacking.empty());
  CHECK(spread.empty());
  // The same leave again.
  spread.Await(2, 5, At(1800));
  CHECK(spread.Take(kOthers, At(1000)).size() == 1);
}

// Guards against upstreams that get no acknowledgement in time as a control
// host does not poll.
TEST_CASE("a host that does not poll delays a task until its deadline") {
  Spread spread(kSelf, 7);
  spread.Record(kOther, MakePoll(2, 5));
  spread.Await(1, 5, At(800));
  spread.Await(2, 5, At(900));
  CHECK(spread.Take(kOthers, At(799)).empty());
  const auto settled = spread.Take(kOthers, At(800));
  REQUIRE(settled.size() == 1);
  CHECK(settled[0].lacking == std::vector<core::HostId>{kBusy});
  // It no longer counts as alive.
  CHECK(spread.Take({kOther}, At(810)).size() == 1);
  spread.Await(3, 5, At(1800));
  CHECK(spread.Take({}, At(1000)).size() == 1);
}

// Guards against the versions of an earlier feed, or of an earlier process, as
// evidence.
TEST_CASE("what a host had before a restart does not count") {
  Spread spread(kSelf, 7);
  spread.Record(kOther, MakePoll(900, 80, 6));
  spread.Await(1, 5, At(800));
  CHECK(spread.Take({kOther}, At(0)).empty());
  spread.Record(kOther, MakePoll(901, 5));
  // The other host restarts; its earlier poll arrives again.
  spread.Record(kOther, MakePoll(1, 0, 0, 2));
  spread.Record(kOther, MakePoll(901, 5));
  CHECK(spread.Take({kOther}, At(100)).empty());
  spread.Record(kOther, MakePoll(2, 5, 7, 2));
  CHECK(spread.Take({kOther}, At(200)).size() == 1);
}

// Guards against requests to an upstream more than the bound after its leave
// was acknowledged: an entry host that was current by another control host did
// not know of the leave.
TEST_CASE("an acknowledged leave is in the next answer of each control host") {
  const bool withdraws = GENERATE(false, true);
  Roster a(kSelf, 7);
  Roster b(kOther, 1);
  Roster entry(core::HostId("e"), 1);
  Spread spread(kSelf, 7);
  a.Announce(Announced(1, false), At(0));
  PollFrom(b, a, At(0));
  PollFrom(entry, b, At(600));
  REQUIRE(Uses(entry, At(600)));
  CHECK(a.LeavingSince(core::UpstreamId("u")) == std::nullopt);

  if (withdraws) {
    REQUIRE(a.Withdraw(core::UpstreamId("u"), At(610)));
  } else {
    REQUIRE(a.Announce(Announced(2, true), At(610)));
  }
  const auto version = a.LeavingSince(core::UpstreamId("u"));
  REQUIRE(version);
  spread.Await(1, *version, At(610) + kSpreadTimeout);
  std::optional<core::Instant> acknowledged;
  for (int ms = 620; !acknowledged; ms += 200) {
    const auto poll = b.Poll(At(ms));
    spread.Record(kOther, poll);
    const bool settled = !spread.Take({kOther}, At(ms)).empty();
    if (settled) acknowledged = At(ms);
    b.Apply(a.Answer(poll, At(ms), kRelayDelay), At(ms));
  }
  CHECK(*acknowledged == At(820));
  // Not held back like the relay between control hosts.
  entry.Apply(b.Answer(entry.Poll(*acknowledged), *acknowledged),
              *acknowledged);
  CHECK_FALSE(Uses(entry, *acknowledged));
  // A heartbeat that repeats it needs no other version.
  a.Announce(Announced(3, true), At(900));
  CHECK(a.LeavingSince(core::UpstreamId("u")) == version);
}

}  // namespace foxquay::roster
