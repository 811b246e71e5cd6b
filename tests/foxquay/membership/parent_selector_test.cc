#include "foxquay/membership/parent_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/core/time.h"

namespace foxquay::membership {
namespace {

using std::chrono::milliseconds;

/// Shortest bound of the site files on the time in which a change is in force.
constexpr milliseconds kInForceBound{2000};

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

core::HostId Control(int index) {
  return core::HostId("control-" + std::to_string(index));
}

/// Followers and control hosts that answer after a fixed time.
class SimulatedCluster {
 public:
  SimulatedCluster(int followers, int controls) {
    std::vector<ParentCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(controls));
    for (int index = 0; index < controls; ++index) {
      candidates.push_back({Control(index), false});
    }
    selectors_.reserve(static_cast<std::size_t>(followers));
    for (int index = 0; index < followers; ++index) {
      selectors_.emplace_back(core::HostId("host-" + std::to_string(index)));
      selectors_.back().SetCandidates(candidates);
      selectors_.back().SetFollowers(static_cast<std::size_t>(followers));
    }
    last_reply_.resize(selectors_.size());
  }

  /// Sets whether a control host answers, and whether with a confirmation.
  void Set(int control, bool answers, bool confirms) {
    answers_[Control(control)] = answers;
    confirms_[Control(control)] = confirms;
  }

  /// Loses the next poll of each host to each control host, as after a restart
  /// that leaves connections to former processes.
  void LoseNextPolls() {
    lost_.clear();
    for (std::size_t index = 0; index < selectors_.size(); ++index) {
      for (const auto& [host, count] : polls_) lost_[index].insert(host);
    }
  }

  /// Runs the hosts in steps of 25 ms and counts the polls of each control
  /// host.
  void Run(int from, int until) {
    polls_.clear();
    longest_gap_ = {};
    for (int ms = from; ms < until; ms += 25) Step(At(ms));
  }

  [[nodiscard]] int polls(int control) { return polls_[Control(control)]; }
  [[nodiscard]] int max_polls() const {
    int most = 0;
    for (const auto& [host, count] : polls_) most = std::max(most, count);
    return most;
  }
  /// Returns the longest time that any host had no confirmed reply.
  [[nodiscard]] core::Duration longest_gap() const { return longest_gap_; }

  [[nodiscard]] int followers_of(int control) const {
    return static_cast<int>(std::count_if(
        selectors_.begin(), selectors_.end(), [&](const auto& selector) {
          return selector.parent() == Control(control);
        }));
  }

 private:
  struct Reply {
    core::HostId from;
    core::Instant due;
  };

  void Step(core::Instant now) {
    for (std::size_t index = 0; index < selectors_.size(); ++index) {
      ParentSelector& selector = selectors_[index];
      std::vector<Reply>& replies = replies_[index];
      for (const Reply& reply : std::exchange(replies, {})) {
        if (reply.due > now) {
          replies.push_back(reply);
          continue;
        }
        const bool confirms = Get(confirms_, reply.from);
        selector.HandleReply(
            reply.from, confirms ? std::optional(kAge) : std::nullopt, now);
        if (confirms) last_reply_[index] = now;
      }
      for (const core::HostId& host : selector.Due(now)) {
        ++polls_[host];
        if (lost_[index].erase(host) > 0) continue;
        if (Get(answers_, host)) replies.push_back({host, now + kDelay});
      }
      longest_gap_ = std::max(longest_gap_, now - last_reply_[index]);
    }
  }

  static bool Get(const std::map<core::HostId, bool>& flags,
                  const core::HostId& host) {
    const auto found = flags.find(host);
    return found == flags.end() || found->second;
  }

  static constexpr core::Duration kDelay = milliseconds(20);
  /// Age of the configuration of a control host that can confirm it.
  static constexpr core::Duration kAge = milliseconds(300);

  std::vector<ParentSelector> selectors_;
  std::map<std::size_t, std::vector<Reply>> replies_;
  std::map<core::HostId, bool> answers_;
  std::map<core::HostId, bool> confirms_;
  std::map<core::HostId, int> polls_;
  std::map<std::size_t, std::set<core::HostId>> lost_;
  std::vector<core::Instant> last_reply_;
  core::Duration longest_gap_{};
};

}  // namespace

// Guards against control traffic that grows with the number of hosts.
TEST_CASE("the polls of one control host are bounded at any number of hosts") {
  for (const int followers : {8, 300, 1000}) {
    SimulatedCluster cluster(followers, 5);
    cluster.Run(0, 10000);
    // Rendezvous hashing spreads unevenly; a host has at most half more than
    // its share.
    CHECK(cluster.max_polls() <= 10 * kMaxFollowerPollRate * 1.5);
    CHECK(cluster.longest_gap() < milliseconds(2000));
  }
}

TEST_CASE("the followers of a lost control host spread over the others") {
  SimulatedCluster cluster(300, 5);
  cluster.Run(0, 3000);
  const int before = cluster.followers_of(0);
  REQUIRE(before > 0);
  cluster.Set(0, false, false);
  cluster.Run(3000, 6000);
  CHECK(cluster.followers_of(0) == 0);
  CHECK(cluster.longest_gap() < milliseconds(2000));
  for (int control = 1; control < 5; ++control) {
    CHECK(cluster.followers_of(control) < 120);
  }
}

// A control host on the minority side of a partition answers, but cannot
// confirm that its configuration is current.
TEST_CASE("a parent that cannot confirm its configuration is left") {
  SimulatedCluster cluster(60, 5);
  cluster.Run(0, 2000);
  cluster.Set(1, true, false);
  cluster.Run(2000, 6000);
  CHECK(cluster.followers_of(1) == 0);
  CHECK(cluster.longest_gap() < milliseconds(3500));
}

TEST_CASE("a control host that is back gets its followers back") {
  SimulatedCluster cluster(300, 5);
  cluster.Run(0, 2000);
  const int before = cluster.followers_of(2);
  cluster.Set(2, false, false);
  cluster.Run(2000, 6000);
  cluster.Set(2, true, true);
  cluster.Run(6000, 20000);
  CHECK(cluster.followers_of(2) == before);
}

// Each host waited for a time-out at one control host after the other, although
// all of them served.
TEST_CASE("polls that are lost at every control host delay no change") {
  for (const auto& [followers, controls] :
       {std::pair(8, 3), std::pair(60, 5), std::pair(300, 5)}) {
    SimulatedCluster cluster(followers, controls);
    cluster.Run(0, 3000);
    cluster.LoseNextPolls();
    cluster.Run(3000, 9000);
    CAPTURE(followers);
    CHECK(cluster.longest_gap() < kInForceBound);
  }
}

// Guards against timers whose sum exceeds the time in which a change has to be
// in force.
TEST_CASE("the largest age of a configuration is below the bound on changes") {
  struct Deployment {
    std::size_t followers;
    std::size_t controls;
    std::size_t lost;
    core::Duration bound;
  };
  // Bounds of the site files; the last row is the size to design for.
  for (const Deployment& deployment :
       {Deployment{8, 3, 1, milliseconds(2000)},
        Deployment{60, 5, 2, milliseconds(2500)},
        Deployment{83, 5, 2, milliseconds(2500)},
        Deployment{291, 5, 2, milliseconds(3000)},
        Deployment{730, 39, 2, milliseconds(3000)}}) {
    CAPTURE(deployment.followers);
    const core::Duration age = MaxConfigurationAge(
        deployment.followers, deployment.controls, deployment.lost);
    // A third is left for links and busy processes.
    CHECK(age <= deployment.bound * 2 / 3 + milliseconds(20));
    SimulatedCluster cluster(static_cast<int>(deployment.followers),
                             static_cast<int>(deployment.controls));
    cluster.Run(0, 3000);
    for (std::size_t lost = 0; lost < deployment.lost; ++lost) {
      cluster.Set(static_cast<int>(lost), lost % 2 == 0, false);
    }
    cluster.Run(3000, 8000);
    CHECK(cluster.longest_gap() + kMaxConfirmationAge <=
          age + milliseconds(200));
  }
}

// Guards against a storm of polls while no control host can answer.
TEST_CASE("a cluster without control hosts polls no faster than before") {
  SimulatedCluster cluster(300, 5);
  for (int control = 0; control < 5; ++control) {
    cluster.Set(control, false, false);
  }
  cluster.Run(0, 10000);
  CHECK(cluster.max_polls() <= 10 * kMaxFollowerPollRate);
  for (int control = 0; control < 5; ++control) {
    cluster.Set(control, true, true);
  }
  cluster.Run(10000, 15000);
  CHECK(cluster.longest_gap() < milliseconds(15000));
  cluster.Run(15000, 20000);
  CHECK(cluster.longest_gap() < milliseconds(1500));
}

TEST_CASE("a near control host is preferred") {
  ParentSelector selector(core::HostId("a"));
  selector.SetCandidates({{Control(0), false},
                          {Control(1), false},
                          {Control(2), true},
                          {Control(3), false}});
  CHECK(selector.Due(At(0)) == std::vector{Control(2)});
}

// Guards against hosts that all poll a control host because it has fallen
// silent: it could not answer them and stayed silent when it was back.
TEST_CASE("a control host that is back gets no more polls than before") {
  SimulatedCluster cluster(300, 5);
  cluster.Run(0, 3000);
  cluster.Set(3, false, false);
  cluster.Run(3000, 10000);
  CHECK(cluster.polls(3) <= 7 * kMaxFollowerPollRate);
  cluster.Set(3, true, true);
  cluster.Run(10000, 20000);
  CHECK(cluster.polls(3) <= 10 * kMaxFollowerPollRate * 1.5);
  CHECK(cluster.followers_of(3) > 30);
}

// Guards against hosts that move from one control host to the next while no
// leader is elected: each move is work for all control hosts.
TEST_CASE("hosts keep their parents while no control host confirms") {
  for (const int followers : {8, 60, 291, 730}) {
    SimulatedCluster cluster(followers, 5);
    cluster.Run(0, 3000);
    std::vector<int> before;
    for (int control = 0; control < 5; ++control) {
      before.push_back(cluster.followers_of(control));
      cluster.Set(control, true, false);
    }
    cluster.Run(3000, 13000);
    for (int control = 0; control < 5; ++control) {
      CHECK(cluster.followers_of(control) ==
            before[static_cast<std::size_t>(control)]);
    }
    // Those that ask others do so ever more rarely.
    cluster.Run(13000, 23000);
    CHECK(cluster.max_polls() <= 10 * kMaxFollowerPollRate * 2);
    for (int control = 0; control < 5; ++control) {
      cluster.Set(control, true, true);
    }
    cluster.Run(23000, 24000);
    cluster.Run(24000, 30000);
    CHECK(cluster.longest_gap() < milliseconds(1500));
  }
}

// A host without a configuration asks nobody else, so that it does not learn
// which control host confirms.
TEST_CASE("a host leaves a parent that has never confirmed") {
  ParentSelector selector(core::HostId("a"));
  selector.SetCandidates({{Control(0), true}, {Control(1), false}});
  for (int ms = 0; ms < 5000 && selector.parent() != Control(1); ms += 50) {
    const auto due = selector.Due(At(ms));
    const bool asked =
        std::find(due.begin(), due.end(), Control(0)) != due.end();
    if (asked) selector.HandleReply(Control(0), std::nullopt, At(ms));
  }
  CHECK(selector.parent() == Control(1));
}

TEST_CASE("without candidates nothing is polled") {
  ParentSelector selector(core::HostId("a"));
  CHECK(selector.Due(At(0)).empty());
  selector.SetCandidates({{Control(0), true}});
  CHECK(selector.Due(At(0)).size() == 1);
  selector.SetCandidates({});
  CHECK(selector.Due(At(25)).empty());
  CHECK_FALSE(selector.parent());
}

}  // namespace foxquay::membership
