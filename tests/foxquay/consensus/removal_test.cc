#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "simulated_cluster.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

/// Bounds of the smallest deployments: when a host that was removed or has lost
/// its disk stops counting as lost, and when a change must be acknowledged.
constexpr milliseconds kCatchUp(4000);
constexpr milliseconds kAck(4000);

/// Longest wait of a process that stops for its vote to move.
constexpr milliseconds kRetireTime(3000);

/// Stops a replica in order and removes it, as a planned replacement does.
/// Returns whether it had to end before its vote had moved.
bool Stop(SimulatedCluster& cluster, std::size_t index, std::uint32_t seed) {
  cluster.Retire(index);
  for (milliseconds waited(0); waited < kRetireTime && !cluster.MayStop(index);
       waited += milliseconds(25)) {
    cluster.Run(milliseconds(25), seed++);
  }
  const bool late = !cluster.MayStop(index);
  cluster.Remove(index);
  return late;
}

bool CommitsWithin(SimulatedCluster& cluster, milliseconds span,
                   std::uint32_t seed) {
  const std::size_t before = cluster.decided();
  for (milliseconds waited(0); waited < span; waited += milliseconds(100)) {
    cluster.Run(milliseconds(100), seed++);
    if (cluster.decided() > before) return true;
  }
  return false;
}

/// Removes control hosts for good and erases disks in a random order, never
/// more of them within kCatchUp than the group has to bear.
class RandomLosses {
 public:
  RandomLosses(std::size_t voters, std::uint32_t seed)
      : voters_(voters),
        random_(seed),
        cluster_(voters, kSuccessors, milliseconds(1000), voters) {
    cluster_.Run(std::chrono::seconds(8), seed);
  }

  /// Returns whether changes were committed after each loss.
  bool Run() {
    constexpr int kLosses = 5;
    for (int loss = 0; loss < kLosses; ++loss) {
      const bool planned = Inject();
      // A host that was stopped in order counts no more once it has ended; any
      // other one does until a replica has had the time to take its place.
      if (!planned) cluster_.Run(kCatchUp, Seed());
      cluster_.Run(milliseconds(random_() % 1000), Seed());
      if (!CommitsWithin(cluster_, kAck, Seed())) return false;
    }
    return true;
  }

  [[nodiscard]] const SimulatedCluster& cluster() const { return cluster_; }
  /// Returns the losses and the states of the replicas before each of them.
  [[nodiscard]] const std::string& events() const { return events_; }

 private:
  /// Successors that run from the start.
  static constexpr std::size_t kSuccessors = 3;

  void Record(const std::string& event, std::size_t index) {
    events_ += "\n" + event + " h" + std::to_string(index);
    if (index == cluster_.leader()) events_ += " (leads)";
    events_ += cluster_.Describe();
  }

  std::uint32_t Seed() { return static_cast<std::uint32_t>(random_()); }

  /// Returns a running host; the leader in one of three cases.
  std::size_t AnyHost() {
    if (random_() % 3 == 0) return cluster_.leader();
    std::size_t index = 0;
    do {
      index = random_() % (voters_ + kSuccessors);
    } while (!cluster_.IsRunning(index));
    return index;
  }

  /// Returns whether the loss was a planned stop.
  bool Inject() {
    const std::size_t index = AnyHost();
    if (removed_ == kSuccessors || random_() % 3 == 0) {
      Record("disk lost", index);
      cluster_.EraseDisk(index);
      return false;
    }
    ++removed_;
    if (random_() % 2 == 0) {
      Record("stopped", index);
      if (Stop(cluster_, index, Seed())) events_ += " too late";
      return true;
    }
    Record("killed", index);
    cluster_.Remove(index);
    return false;
  }

  std::size_t voters_;
  std::size_t removed_ = 0;
  std::string events_;
  std::mt19937 random_;
  SimulatedCluster cluster_;
};

/// Returns the number of seeds; FOXQUAY_SEEDS sets more for runs by hand.
std::uint32_t Seeds() {
  constexpr std::uint32_t kDefault = 20;
  const char* seeds = std::getenv("FOXQUAY_SEEDS");
  return seeds == nullptr
             ? kDefault
             : static_cast<std::uint32_t>(std::strtoul(seeds, nullptr, 10));
}

}  // namespace

// A host that was stopped as planned kept its vote for 5 s although its
// successor was ready, so that the loss of a disk in that time left no quorum.
TEST_CASE("a group bears the loss of a disk after a planned removal") {
  const std::size_t removed = GENERATE(0, 1, 2, 10);
  const std::size_t lost = GENERATE(0, 1, 2);
  const milliseconds gap(GENERATE(0, 500, 4300));
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(removed, lost, gap.count(), seed);
    SimulatedCluster cluster(3, 1, milliseconds(1000), 3);
    cluster.Run(std::chrono::seconds(8), seed);
    const std::size_t leaving = removed == 10 ? cluster.leader() : removed;
    if (leaving == lost) continue;
    Stop(cluster, leaving, seed);
    cluster.Run(gap, seed);
    cluster.EraseDisk(lost);
    cluster.Run(milliseconds(2000), seed);
    CAPTURE(cluster.Describe());
    CHECK(CommitsWithin(cluster, kAck, seed));
    CHECK(cluster.oracle().violation().empty());
  }
}

// A host that was killed, not stopped, kept its vote for 5 s, longer than the
// time after which the next loss has to be borne.
TEST_CASE("a group bears the loss of a disk after a host was killed for good") {
  const std::size_t removed = GENERATE(0, 1, 2);
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(removed, seed);
    SimulatedCluster cluster(3, 1, milliseconds(1000), 3);
    cluster.Run(std::chrono::seconds(8), seed);
    cluster.Remove(removed);
    cluster.Run(kCatchUp, seed);
    cluster.EraseDisk((removed + 1) % 3);
    cluster.Run(milliseconds(2000), seed);
    CAPTURE(cluster.Describe());
    CHECK(CommitsWithin(cluster, kAck, seed));
    CHECK(cluster.oracle().violation().empty());
  }
}

TEST_CASE("two hosts that are removed one after the other are replaced") {
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(seed);
    SimulatedCluster cluster(3, 2, milliseconds(1000), 3);
    cluster.Run(std::chrono::seconds(8), seed);
    Stop(cluster, 0, seed);
    Stop(cluster, 1, seed);
    CAPTURE(cluster.Describe());
    CHECK(CommitsWithin(cluster, kAck, seed));
    CHECK(cluster.oracle().violation().empty());
  }
}

// Guards against a restart that counts as a removal: the group would end with
// its votes on other hosts.
TEST_CASE("votes return to hosts that are restarted one after the other") {
  // The log still holds who took over the votes.
  constexpr std::size_t kSnapshotEntries = 10000;
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(seed);
    SimulatedCluster cluster(3, 1, milliseconds(1000), 3, kSnapshotEntries);
    cluster.Run(std::chrono::seconds(8), seed);
    for (std::size_t index = 0; index < 3; ++index) {
      cluster.Retire(index);
      cluster.Run(milliseconds(500), seed);
      cluster.Inject({FaultKind::kRestart, index, 0});
      CHECK(CommitsWithin(cluster, kAck, seed));
    }
    cluster.Run(std::chrono::seconds(8), seed);
    CAPTURE(cluster.Describe());
    // A leader keeps its vote; without one it would have to be replaced.
    for (std::size_t index = 0; index < 3; ++index) {
      CHECK((cluster.Votes(index) || cluster.leader() == 3));
    }
    CHECK(cluster.oracle().violation().empty());
  }
}

TEST_CASE("a host without a successor stops at once and keeps its vote") {
  SimulatedCluster cluster(3, 0, milliseconds(1000), 3);
  cluster.Run(std::chrono::seconds(4), 1);
  const std::size_t index = (cluster.leader() + 1) % 3;
  cluster.Retire(index);
  cluster.Run(milliseconds(500), 2);
  CHECK(cluster.MayStop(index));
  CHECK(cluster.Votes(index));
}

TEST_CASE("groups bear removals and lost disks in any order") {
  const std::size_t voters = GENERATE(3, 5, 7);
  for (std::uint32_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(voters, seed);
    RandomLosses losses(voters, seed);
    const bool held = losses.Run();
    CAPTURE(losses.events(), losses.cluster().Describe());
    CHECK(held);
    CHECK(losses.cluster().oracle().violation().empty());
  }
}

TEST_CASE("a silent voter is replaced within the time to catch up") {
  for (const int seconds : {4, 5, 6}) {
    const core::Duration catch_up = std::chrono::seconds(seconds);
    CHECK(MaxReplacementTime(MakeTiming(catch_up)) <= catch_up);
  }
}

}  // namespace foxquay::consensus
