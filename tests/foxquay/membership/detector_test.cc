#include "foxquay/membership/detector.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/schema/codec.h"

namespace foxquay::membership {
namespace {

using core::Duration;
using core::HostId;
using core::Instant;
using schema::MemberState;
using std::chrono::milliseconds;
using std::chrono::seconds;

HostId Name(unsigned host) { return HostId("h" + std::to_string(host)); }

/// Hosts on a network that drops a percentage of the datagrams and delays the
/// others by 1 to 30 ms. Time advances in steps of 10 ms.
class Simulation {
 public:
  Simulation(std::uint64_t seed, unsigned loss_percent, unsigned hosts)
      : random_(seed), loss_percent_(loss_percent) {
    for (unsigned host = 0; host < hosts; ++host) Start(host, 1);
  }

  void Start(unsigned host, std::uint64_t incarnation) {
    Detector detector({Name(host), incarnation, "10.0.0.1:1", {}, random_()},
                      now_);
    // Every host is configured with the same two peers only.
    detector.AddPeer(Name(0), "10.0.0.1:1");
    detector.AddPeer(Name(1), "10.0.0.1:1");
    running_.insert_or_assign(Name(host), std::move(detector));
    incarnations_[Name(host)] = incarnation;
  }

  void Stop(unsigned host) {
    running_.erase(Name(host));
    incarnations_.erase(Name(host));
  }

  /// Stops a host's process without ending it: it neither runs nor receives,
  /// and datagrams that would arrive meanwhile are dropped.
  void Freeze(unsigned host) { frozen_.insert(Name(host)); }
  void Resume(unsigned host) { frozen_.erase(Name(host)); }

  void Run(Duration duration) {
    for (const Instant end = now_ + duration; now_ < end;
         now_ += milliseconds(10)) {
      for (auto& [host, detector] : running_) {
        if (frozen_.contains(host)) continue;
        if (detector.NextDeadline() <= now_) Send(host, detector.Tick(now_));
      }
      Deliver();
      CountFalseDeaths();
    }
  }

  /// Returns whether every other host knows this incarnation as the newest one
  /// of `host`, and as dead or not dead according to `dead`. A suspected host,
  /// which can still refute, is not dead.
  [[nodiscard]] bool AllBelieve(unsigned host, bool dead,
                                std::uint64_t incarnation) const {
    for (const auto& [viewer, detector] : running_) {
      if (viewer == Name(host)) continue;
      const auto found = detector.members().find(Name(host));
      if (found == detector.members().end() ||
          (found->second.update.state == MemberState::kDead) != dead ||
          found->second.update.incarnation != incarnation) {
        return false;
      }
    }
    return true;
  }

  /// Returns the number of other hosts about which a host has received updates.
  [[nodiscard]] std::size_t KnownHosts(unsigned host) const {
    const auto& members = running_.at(Name(host)).members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& member) {
          return member.second.update.incarnation > 0;
        }));
  }

  /// Number of times that running incarnations were declared dead, by host.
  std::map<HostId, int> false_deaths;

 private:
  struct Packet {
    HostId from;
    HostId to;
    std::string bytes;
  };

  void Send(const HostId& from, const std::vector<Datagram>& datagrams) {
    for (const Datagram& datagram : datagrams) {
      if (random_() % 100 < loss_percent_) continue;
      const Instant at = now_ + milliseconds(1 + random_() % 30);
      std::string bytes = schema::Encode(datagram.message);
      RC_ASSERT(bytes.size() <= 1400U);
      in_flight_.emplace(at, Packet{from, datagram.to, std::move(bytes)});
    }
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const Packet packet = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      const auto to = running_.find(packet.to);
      if (to == running_.end() || frozen_.contains(packet.to)) continue;
      const auto message =
          schema::Decode<schema::MembershipMessage>(packet.bytes);
      RC_ASSERT(message.has_value());
      Send(packet.to, to->second.Handle(packet.from, message.value(), now_));
    }
  }

  void CountFalseDeaths() {
    for (auto& [host, detector] : running_) {
      for (const schema::MemberUpdate& change : detector.TakeChanges()) {
        const auto subject = incarnations_.find(change.host);
        if (change.state == MemberState::kDead &&
            subject != incarnations_.end() &&
            subject->second == change.incarnation) {
          ++false_deaths[change.host];
        }
      }
    }
  }

  std::mt19937_64 random_;
  unsigned loss_percent_;
  Instant now_{seconds(100)};
  std::map<HostId, Detector> running_;
  std::map<HostId, std::uint64_t> incarnations_;
  std::set<HostId> frozen_;
  std::multimap<Instant, Packet> in_flight_;
};

constexpr unsigned kHosts = 8;

/// Upper bound on the time from a silent failure until every host knows of it:
/// 2 N - 1 periods for N = 7 other hosts, one period for the probe, the
/// suspicion timeout, and 1 s for dissemination.
constexpr Duration kDetectionBound = (2 * (kHosts - 1) - 1) * kProbePeriod +
                                     kProbePeriod + kSuspicionTimeout +
                                     seconds(1);

/// Upper bound on the time until a host that starts is known to all others.
constexpr Duration kJoinBound = seconds(6);

// Guards against false declarations of death under message loss, failures that
// stay undetected, and restarted or new hosts that the others do not accept.
TEST_CASE("hosts agree on who is alive under 10 % loss", "[fuzz]") {
  REQUIRE(rc::check([] {
    const unsigned loss = *rc::gen::element(0U, 5U, 10U);
    Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), loss, kHosts);
    simulation.Run(kJoinBound);
    for (unsigned host = 0; host < kHosts; ++host) {
      RC_ASSERT(simulation.AllBelieve(host, false, 1));
    }
    simulation.Run(seconds(20));
    const unsigned dead = *rc::gen::inRange(0U, kHosts);
    simulation.Stop(dead);
    simulation.Run(kDetectionBound);
    RC_ASSERT(simulation.AllBelieve(dead, true, 1));
    simulation.Start(dead, 2);
    simulation.Start(kHosts, 1);
    simulation.Run(kJoinBound);
    RC_ASSERT(simulation.AllBelieve(dead, false, 2));
    RC_ASSERT(simulation.AllBelieve(kHosts, false, 1));
    RC_ASSERT(simulation.false_deaths.empty());
  }));
}

// Guards against a detector that is reliable for few hosts only. With many
// hosts, running ones are declared dead if there are no indirect probes or if
// suspects are not told of the suspicion, and a new host learns of the others
// slowly if their states are not sent in rotation.
TEST_CASE("forty hosts have no false deaths under 10 % loss") {
  constexpr unsigned kManyHosts = 40;
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  CAPTURE(seed);
  Simulation simulation(seed, 10, kManyHosts);
  simulation.Run(seconds(60));
  CHECK(simulation.false_deaths.empty());
  simulation.Start(kManyHosts, 1);
  simulation.Run(kJoinBound);
  CHECK(simulation.AllBelieve(kManyHosts, false, 1));
  CHECK(simulation.KnownHosts(kManyHosts) == kManyHosts);
}

// Guards against a frozen host that resumes and declares the others dead, and
// against one that the others still consider dead although it replies again.
TEST_CASE("a frozen host resumes without false deaths", "[fuzz]") {
  REQUIRE(rc::check([] {
    Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::element(0U, 10U), kHosts);
    simulation.Run(seconds(8));
    const unsigned host = *rc::gen::inRange(0U, kHosts);
    simulation.Freeze(host);
    simulation.Run(milliseconds(*rc::gen::inRange(0, 20'000)));
    simulation.Resume(host);
    simulation.Run(seconds(10));
    RC_ASSERT(simulation.AllBelieve(host, false, 1));
    simulation.false_deaths.erase(Name(host));
    RC_ASSERT(simulation.false_deaths.empty());
  }));
}

// Guards against updates of an old incarnation that replace those of the new
// one, and against a dead host that other hosts declare alive.
TEST_CASE("only a higher version or incarnation makes a dead host alive") {
  MemberTable table;
  const Instant now{};
  schema::MemberUpdate update{Name(1), 3, 0, MemberState::kDead, "a", {}};
  CHECK(table.Merge(update, now));
  update.state = MemberState::kAlive;
  CHECK_FALSE(table.Merge(update, now));
  update.incarnation = 2;
  update.version = 9;
  CHECK_FALSE(table.Merge(update, now));
  update = {Name(1), 3, 1, MemberState::kAlive, "a", {}};
  CHECK(table.Merge(update, now));
  update = {Name(1), 4, 0, MemberState::kAlive, "b", {}};
  CHECK(table.Merge(update, now));
  CHECK(table.Find(Name(1))->update.address == "b");
}

// Guards against two processes with the same host name that both serve.
TEST_CASE("a process detects a newer incarnation of its host") {
  Detector detector({Name(1), 1, "a", {}, 1}, Instant{});
  schema::Probe probe;
  probe.updates = {{Name(1), 2, 0, MemberState::kAlive, "b", {}}};
  (void)detector.Handle(Name(2), probe, Instant{});
  CHECK(detector.superseded());
}

}  // namespace
}  // namespace foxquay::membership
