#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "simulated_cluster.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

/// Interval at which changes are proposed.
constexpr milliseconds kChangeInterval(400);
/// Time for which a disk refuses writes.
constexpr milliseconds kFullFor(3000);
/// Time within which operators are promised an answer (ack_ms).
constexpr milliseconds kAcknowledgeWithin(4000);

/// What happens beside a full disk.
enum class Beside : std::uint8_t {
  kNothing,
  kRestart,     ///< The process ends and starts again on the full disk.
  kLeaderLost,  ///< The leader is cut off until the disk has room.
};

/// A group whose disks refuse writes in turn, and the longest time for which it
/// committed nothing.
class TurnOfFullDisks {
 public:
  TurnOfFullDisks(std::size_t voters, std::size_t standbys, std::uint32_t seed)
      : cluster_(voters, standbys, milliseconds(1000)), random_(seed) {
    cluster_.SetMinDelay(milliseconds(random_() % 60));
    Run(milliseconds(6000));
    cluster_.SetProposalInterval(kChangeInterval);
    longest_ = {};
  }

  /// The disk of `replica` refuses writes for kFullFor.
  void Fill(std::size_t replica, Beside beside) {
    cluster_.Inject({FaultKind::kStallSyncs, replica, 0});
    Run(kFullFor / 2);
    if (beside == Beside::kRestart) {
      cluster_.Inject({FaultKind::kRestart, replica, 0});
    } else if (beside == Beside::kLeaderLost) {
      cluster_.Inject({FaultKind::kIsolate, Fault::kLeader, 0});
    }
    Run(kFullFor / 2);
    cluster_.Recover(100, static_cast<std::uint32_t>(random_()));
  }

  void Run(milliseconds span) {
    constexpr milliseconds kPart(50);
    for (milliseconds left = span; left > milliseconds(0); left -= kPart) {
      const std::size_t before = cluster_.decided();
      cluster_.Run(kPart, static_cast<std::uint32_t>(random_()));
      without_commit_ += kPart;
      if (cluster_.decided() > before) without_commit_ = {};
      longest_ = std::max(longest_, without_commit_);
    }
  }

  /// Returns the replicas and the leader, once each, in a random order.
  std::vector<std::size_t> Order(std::size_t replicas) {
    std::vector<std::size_t> order = {Fault::kLeader};
    for (std::size_t index = 0; index < replicas; ++index) {
      order.push_back(index);
    }
    std::shuffle(order.begin(), order.end(), random_);
    return order;
  }

  [[nodiscard]] milliseconds longest() const { return longest_; }
  SimulatedCluster& cluster() { return cluster_; }

 private:
  SimulatedCluster cluster_;
  std::mt19937 random_;
  milliseconds without_commit_{};
  milliseconds longest_{};
};

/// Fills all disks in turn; then a change must be decided in time, also if the
/// power is lost as soon as the last disk has room.
void CheckTurn(std::size_t voters, std::size_t standbys, std::uint32_t seed,
               Beside beside) {
  CAPTURE(voters, standbys, seed, static_cast<int>(beside));
  TurnOfFullDisks turn(voters, standbys, seed);
  for (const std::size_t replica : turn.Order(voters + standbys)) {
    turn.Fill(replica, beside);
    turn.Run(milliseconds(100 * (seed % 3)));
  }
  const bool power_loss_at_once = seed % 2 == 0;
  if (!power_loss_at_once) {
    const std::size_t before = turn.cluster().decided();
    turn.Run(kAcknowledgeWithin);
    CHECK(turn.cluster().decided() > before);
  }
  CAPTURE(turn.cluster().Describe());
  if (beside != Beside::kLeaderLost) {
    CHECK(turn.longest() <= kAcknowledgeWithin);
  }
  turn.cluster().Inject({FaultKind::kPowerLoss, seed % voters, 0});
  turn.cluster().CheckRecovery();
  CHECK(turn.cluster().oracle().violation().empty());
}

void CheckTurns(Beside beside) {
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    CheckTurn(3, 0, seed, beside);
    CheckTurn(5, 1, seed, beside);
  }
}

}  // namespace

// Guards against a group that stays without commits, or loses some, after the
// disk of each replica was full once.
TEST_CASE("changes are decided while and after disks are full in turn") {
  CheckTurns(Beside::kNothing);
}

// Guards against a replica that, started again on a full disk, keeps the group
// from commits.
TEST_CASE("changes are decided although processes start on full disks") {
  CheckTurns(Beside::kRestart);
}

// Guards against a replica that raised its term on a full disk and deposes each
// leader once there is room.
TEST_CASE("changes are decided after leaders are lost beside full disks") {
  CheckTurns(Beside::kLeaderLost);
}

}  // namespace foxquay::consensus
