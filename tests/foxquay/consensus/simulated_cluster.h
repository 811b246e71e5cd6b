#ifndef FOXQUAY_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_
#define FOXQUAY_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/consensus/replica.h"
#include "oracle.h"

namespace foxquay::consensus {

/// Kind of fault, applied to one replica or to the network.
enum class FaultKind : std::uint8_t {
  kNone,
  kCrash,    ///< Stops a replica; `detail` selects how many of its unsynced
             ///< writes reach the disk.
  kRestart,  ///< As kCrash, then starts the replica again at once.
  kPause,    ///< Suspends a replica, which keeps its state.
  kCutLink,  ///< Drops messages from the replica to replica `detail`.
  kIsolate,  ///< Drops messages from and to a replica.
  kLoseMessages,   ///< Drops `detail` modulo 40 percent of all messages.
  kDelayMessages,  ///< Delays `detail` modulo 40 percent by up to 1 s.
  kSplitVote,  ///< At the next election with two candidates in one term, pauses
               ///< the loser, isolates the winner and restarts the others.
  kPowerLoss,  ///< Crashes all replicas at once; all but one restart.
  kStallSyncs,  ///< Suspends the disk syncs of a replica.
  kLoseDisk,    ///< Crashes a replica and erases its disk; it restarts empty.
};

struct Fault {
  /// Values of `replica` from here on select the leader, if there is one.
  static constexpr std::size_t kLeader = 10;

  FaultKind kind = FaultKind::kNone;
  std::size_t replica = 0;  ///< Replica, modulo their number, or the leader.
  std::size_t detail = 0;   ///< Parameter of the fault; see FaultKind.
};

/// Deterministic simulation of a group: replicas with their disks and clocks,
/// and the network between them.
class SimulatedCluster {
 public:
  /// The group grows to `voters` voters if that is more than `founders`, and
  /// compacts its log each `snapshot_entries` entries.
  SimulatedCluster(std::size_t founders, std::size_t standbys,
                   core::Duration max_election, std::size_t voters = 0,
                   std::size_t snapshot_entries = 12);

  /// Injects a fault; it lasts until Recover ends it.
  void Inject(const Fault& fault);
  /// Ends each fault with a probability of `percent` and seeds the random
  /// choices with `seed`.
  void Recover(int percent, std::uint32_t seed);
  /// Advances the time by `span`. Messages are delivered late, twice, out of
  /// order or never.
  void Run(std::chrono::milliseconds span, std::uint32_t seed);
  /// Starts the planned stop of a replica.
  void Retire(std::size_t index);
  /// Returns whether a replica that is retiring may end.
  [[nodiscard]] bool MayStop(std::size_t index) const {
    return nodes_[index].replica->MayStop();
  }
  /// Ends the process of a replica for good, with its disk.
  void Remove(std::size_t index);
  /// Erases the disk of a replica and starts it again, whether the group can
  /// survive that or not.
  void EraseDisk(std::size_t index);
  [[nodiscard]] bool IsRunning(std::size_t index) const {
    return nodes_[index].replica.has_value();
  }
  /// Returns whether the leader's configuration has this replica as a voter.
  [[nodiscard]] bool Votes(std::size_t index) const;
  /// Returns the replica that leads the latest term; the first one if none
  /// does.
  [[nodiscard]] std::size_t leader() const {
    return Target({FaultKind::kNone, Fault::kLeader, 0});
  }
  /// Ends all faults and checks that within 30 s the group commits again, has
  /// all its voters and has the same state on all replicas.
  void CheckRecovery();
  [[nodiscard]] const Oracle& oracle() const { return oracle_; }
  /// Delays every message from now on by at least `delay`, as busy hosts do.
  void SetMinDelay(core::Duration delay) { min_delay_ = delay; }
  /// From now on proposes one command at the leader in each `interval`, in
  /// place of many at random replicas.
  void SetProposalInterval(core::Duration interval) {
    proposal_interval_ = interval;
  }
  /// Returns the number of proposals that were reported as committed.
  [[nodiscard]] std::size_t decided() const { return decided_; }
  /// Returns role, term, commit index and voters of each replica, and the
  /// previous ones during a change.
  [[nodiscard]] std::string Describe() const;

 private:
  using Write = std::variant<Persist, SaveSnapshot>;
  struct Node {
    schema::ReplicaId id;
    PersistentState disk;
    std::vector<Write> unsynced;     ///< Not on disk yet, in order.
    std::optional<Replica> replica;  ///< Unset while it is not running.
    bool removed = false;            ///< Never starts again.
    bool paused = false;
    bool syncs_stalled = false;
    bool wants_snapshot = false;
    double clock_rate = 1.0;  ///< Relative to the time of the simulation.
    core::Duration clock_offset{};
    TestStateMachine machine;
    std::map<ProposalId, std::string> proposals;
  };
  struct InFlightMessage {
    core::Instant due;  ///< Earliest time of delivery.
    std::size_t from = 0;
    std::size_t to = 0;
    schema::ConsensusMessage message;
  };

  [[nodiscard]] std::size_t Target(const Fault& fault) const;
  void Start(std::size_t index);
  void Crash(Node& node, std::size_t synced_writes);
  /// Returns whether the group must survive the loss of this disk.
  [[nodiscard]] bool MayLoseDisk(const Node& node) const;
  void LoseDisk(std::size_t index);
  void Step();
  /// Carries out kSplitVote if two candidates stood in one term.
  void InjectAtSplitVote();
  void DeliverSome();
  void SyncSome(std::size_t index);
  void ProposeSome();
  /// Returns whether a proposal is due; the leader gets it if they come at an
  /// interval, else any replica.
  [[nodiscard]] bool ProposalIsDue();
  void Handle(std::size_t index, const Event& event);
  void Perform(std::size_t index, const Action& action);
  void Transmit(std::size_t index, const Send& send);
  /// Checks a replica against all others. `advanced` tells whether it just
  /// committed as the leader.
  void Check(std::size_t index, bool advanced);
  void CheckFreshness(const Node& node);
  [[nodiscard]] bool HasConverged() const;

  /// Returns the time on the clock of a replica.
  [[nodiscard]] core::Instant LocalTime(const Node& node) const;
  /// Returns true with a probability of `percent`.
  [[nodiscard]] bool Chance(int percent);
  static void WriteTo(PersistentState& disk, const Write& write);

  Options options_;
  std::vector<Node> nodes_;
  std::vector<InFlightMessage> in_flight_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  int loss_percent_ = 0;
  int delay_percent_ = 2;
  core::Duration min_delay_{};
  std::optional<core::Duration> proposal_interval_;
  core::Instant next_proposal_{};
  bool split_vote_armed_ = false;
  bool proposing_ = true;
  core::Instant real_time_{std::chrono::hours(1)};  ///< Of the simulation.
  core::Instant last_disk_loss_{};
  std::mt19937 random_;
  std::size_t decided_ = 0;
  std::uint64_t serial_ = 0;  ///< Source of incarnations, seeds and ids.
  Oracle oracle_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_TESTS_CONSENSUS_SIMULATED_CLUSTER_H_
