#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "foxquay/roster/roster.h"

namespace foxquay::roster {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::HostState MakeHost(std::uint64_t number, bool draining = false) {
  schema::HostState state;
  state.address.id = core::HostId("host");
  state.address.incarnation = 7;
  state.number = number;
  state.admitting = true;
  state.draining = draining;
  return state;
}

/// Control hosts that poll each other, and a host that reports to one of them.
class Controls {
 public:
  explicit Controls(bool renew) : renew_(renew) {
    for (const char* name : {"a", "b", "c"}) {
      rosters_.emplace_back(core::HostId(name), 1);
    }
  }

  /// Runs until `end`; the host reports to `control`, or to none if negative.
  void Run(int end, int control, bool draining = false) {
    for (; now_ < end; now_ += 100) {
      if (control >= 0 && now_ % 300 == 0) {
        Get(control).HearHost(
            MakeHost(static_cast<std::uint64_t>(now_) + 1, draining), At(now_));
      }
      if (now_ % 200 == 0) PollAll();
      if (renew_ && now_ % 500 == 0) RenewAll();
    }
  }

  [[nodiscard]] std::uint64_t changes() {
    std::uint64_t total = 0;
    for (Roster& roster : rosters_) {
      const FeedStats stats = roster.TakeStats();
      for (const std::uint64_t count : stats.changes) total += count;
    }
    return total;
  }
  /// Returns whether a control host takes the host for silent; also if it does
  /// not know it.
  [[nodiscard]] bool silent(int control) {
    const auto hosts = Get(control).Hosts(At(now_));
    return hosts.empty() || hosts.front().silent;
  }
  [[nodiscard]] bool draining(int control) {
    return Get(control).Hosts(At(now_)).front().draining;
  }

 private:
  Roster& Get(int control) {
    return rosters_[static_cast<std::size_t>(control)];
  }

  void PollAll() {
    for (Roster& to : rosters_) {
      for (Roster& from : rosters_) {
        if (&to == &from) continue;
        to.Apply(from.Answer(to.Poll(At(now_)), At(now_), kRelayDelay),
                 At(now_));
      }
    }
  }

  void RenewAll() {
    for (std::size_t from = 0; from < rosters_.size(); ++from) {
      const core::HostId name(std::string(1, static_cast<char>('a' + from)));
      const schema::HeardHosts heard = rosters_[from].Heard(At(now_));
      for (std::size_t to = 0; to < rosters_.size(); ++to) {
        if (to != from) rosters_[to].Renew(name, heard, At(now_));
      }
    }
  }

  bool renew_;
  std::vector<Roster> rosters_;
  int now_ = 0;
};

}  // namespace

// Guards against moves of hosts that are sent to all other hosts.
TEST_CASE("a host that moves between control hosts changes no feed") {
  Controls controls(true);
  controls.Run(2000, 0);
  CHECK(controls.changes() == 1);
  for (int move = 1; move <= 12; ++move) {
    controls.Run(2000 + move * 900, move % 3);
    for (int control = 0; control < 3; ++control) {
      CHECK_FALSE(controls.silent(control));
    }
  }
  CHECK(controls.changes() == 0);
}

TEST_CASE("a host that has moved and falls silent is silent everywhere") {
  Controls controls(true);
  controls.Run(2000, 0);
  controls.Run(5000, 1);
  controls.Run(5000 + 2200, -1);
  for (int control = 0; control < 3; ++control) {
    CHECK(controls.silent(control));
  }
  controls.Run(9000, 2);
  for (int control = 0; control < 3; ++control) {
    CHECK_FALSE(controls.silent(control));
  }
}

TEST_CASE("a host that has moved and drains is known to drain everywhere") {
  Controls controls(true);
  controls.Run(2000, 0);
  controls.Run(5000, 1);
  controls.Run(5900, 1, true);
  for (int control = 0; control < 3; ++control) {
    CHECK(controls.draining(control));
  }
  controls.Run(8900, 0, true);
  for (int control = 0; control < 3; ++control) {
    CHECK(controls.draining(control));
  }
}

// Guards against an outdated state that is newer than the one it differs from
// and is kept by the renewals of a third control host.
TEST_CASE("a host that is ready again after moves is ready everywhere") {
  Controls controls(true);
  controls.Run(2000, 0);
  controls.Run(2400, 1, true);
  controls.Run(8000, 2);
  for (int control = 0; control < 3; ++control) {
    CHECK_FALSE(controls.draining(control));
    CHECK_FALSE(controls.silent(control));
  }
}

// A build before this one does not renew hosts and would mark them silent.
TEST_CASE("a host is published again beside builds that do not renew") {
  Controls controls(false);
  controls.Run(2000, 0);
  controls.Run(2300, 1);
  controls.Run(6000, 1);
  for (int control = 0; control < 3; ++control) {
    CHECK_FALSE(controls.silent(control));
  }
}

// Guards against hosts that turn silent because the host that they report to is
// behind with their polls.
TEST_CASE("a host that reports rarely is not silent while polls are behind") {
  Roster roster(core::HostId("a"), 1);
  roster.SetHostSilence(kBehindHostSilence);
  roster.HearHost(MakeHost(1), At(0));
  CHECK_FALSE(roster.Hosts(At(3000)).front().silent);
  CHECK(roster.Hosts(At(3600)).front().silent);
  roster.HearHost(MakeHost(2), At(4000));
  roster.SetHostSilence(kHostSilence);
  CHECK(roster.Hosts(At(5600)).front().silent);
}

// Guards against messages whose values are out of range.
TEST_CASE("a renewal with an age out of range changes nothing") {
  Roster roster(core::HostId("a"), 1);
  roster.HearHost(MakeHost(1), At(0));
  const core::HostId host = MakeHost(1).address.id;
  for (const core::Duration age :
       {core::Duration::max(), core::Duration::min(), core::Duration(-1)}) {
    roster.Renew(core::HostId("b"), {{{host, 7, age}}}, At(1400));
  }
  CHECK(roster.Hosts(At(1600)).front().silent);
}

// Guards against feeds that are sent again because an answer is late.
TEST_CASE("a host that has not answered is not polled again at once") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  const core::HostId b_id("b");
  const auto poll = a.PollIfAnswered(b_id, At(0));
  REQUIRE(poll);
  CHECK_FALSE(a.PollIfAnswered(b_id, At(200)));
  a.RecordLoss(b_id);
  CHECK(a.PollIfAnswered(b_id, At(400)));
  CHECK_FALSE(a.PollIfAnswered(b_id, At(600)));
  const auto late = a.PollIfAnswered(b_id, At(1400));
  REQUIRE(late);
  a.Apply(b.Answer(*late, At(1410)), At(1410));
  CHECK(a.PollIfAnswered(b_id, At(1600)));
}

// Guards against each change coming from every control host.
TEST_CASE("a copied feed is left out while its owner brings it") {
  Roster a(core::HostId("a"), 1);
  Roster b(core::HostId("b"), 1);
  Roster c(core::HostId("c"), 1);
  a.HearHost(MakeHost(1), At(0));
  b.Apply(a.Answer(b.Poll(At(0)), At(0)), At(0));
  CHECK(b.Answer(c.Poll(At(100)), At(100), kRelayDelay).feeds.size() == 1);
  // The owner has not brought it within the delay: the path to it may be cut.
  CHECK(b.Answer(c.Poll(At(600)), At(600), kRelayDelay).feeds.size() == 2);
}

}  // namespace foxquay::roster
