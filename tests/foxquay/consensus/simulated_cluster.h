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

/// What a command does to one replica or to the bag of messages.
enum class FaultKind : std::uint8_t {
  kNone,
  kCrash,    ///< Ends a replica; of its unsynced writes `detail` many survive.
  kRestart,  ///< As kKill, then starts it again at once.
  kPause,    ///< Stops a replica without ending it.
  kCutLink,  ///< Loses messages from one replica to another, silently.
  kIsolate,  ///< Loses messages from and to a replica, silently.
  kLoseMessages,   ///< Loses `detail` percent of all messages.
  kDelayMessages,  ///< Delays `detail` percent of all messages by up to 1 s.
  kSplitVote,   ///< At the next split election, freezes a candidate that lost,
                ///< isolates the winner and reboots the voters.
  kPowerLoss,   ///< Ends all replicas at once; all but one restart.
  kStallSyncs,  ///< Stops the syncs of a replica.
  kLoseDisk,    ///< Ends a replica and loses its disk; it restarts empty.
};

struct Fault {
  static constexpr std::size_t kLeader = 10;

  FaultKind kind = FaultKind::kNone;
  std::size_t replica = 0;  ///< The leader from kLeader on.
  std::size_t detail = 0;
};

/// Replicas, their disks and one bag of messages in flight.
class SimulatedCluster {
 public:
  /// The group grows to `voters` if that is more than the founders.
  SimulatedCluster(std::size_t founders, std::size_t standbys,
                   core::Duration max_election, std::size_t voters = 0);

  void Inject(const Fault& fault);
  /// Ends each fault with a probability of `percent`.
  void Recover(int percent, std::uint32_t seed);
  /// Lets time pass; messages are delivered late, twice, out of order or never.
  void Run(std::chrono::milliseconds span, std::uint32_t seed);
  /// Ends all faults and checks that the group commits again, at full strength
  /// and with all replicas at the same state.
  void CheckRecovery();
  [[nodiscard]] const Oracle& oracle() const { return oracle_; }
  /// Returns role, term, commit index and voters of each replica.
  [[nodiscard]] std::string Describe() const;

 private:
  using Write = std::variant<Persist, SaveSnapshot>;
  struct Node {
    schema::ReplicaId id;
    PersistentState disk;
    std::vector<Write> unsynced;
    std::optional<Replica> replica;
    bool paused = false;
    bool syncs_stalled = false;
    bool wants_snapshot = false;
    double clock_rate = 1.0;
    core::Duration clock_offset{};
    TestStateMachine machine;
    std::map<ProposalId, std::string> proposals;
  };
  struct InFlightMessage {
    core::Instant due;
    std::size_t from = 0;
    std::size_t to = 0;
    schema::ConsensusMessage message;
  };

  [[nodiscard]] std::size_t Target(const Fault& fault) const;
  void Start(std::size_t index);
  void Crash(Node& node, std::size_t synced_writes);
  [[nodiscard]] bool MayLoseDisk(const Node& node) const;
  void LoseDisk(std::size_t index);
  void Step();
  void InjectAtSplitVote();
  void DeliverSome();
  void SyncSome(std::size_t index);
  void ProposeSome();
  void Handle(std::size_t index, const Event& event);
  void Perform(std::size_t index, const Action& action);
  void Transmit(std::size_t index, const Send& send);
  void Check(std::size_t index, bool advanced);
  void CheckFreshness(const Node& node);
  [[nodiscard]] bool HasConverged() const;

  [[nodiscard]] core::Instant LocalTime(const Node& node) const;
  [[nodiscard]] bool Chance(int percent);
  static void WriteTo(PersistentState& disk, const Write& write);

  Options options_;
  std::vector<Node> nodes_;
  std::vector<InFlightMessage> in_flight_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  int loss_percent_ = 0;
  int delay_percent_ = 2;
  bool split_vote_armed_ = false;
  bool proposing_ = true;
  core::Instant real_time_{std::chrono::hours(1)};
  core::Instant last_disk_loss_{};
  std::mt19937 random_;
  std::uint64_t serial_ = 0;
  Oracle oracle_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_TESTS_CONSENSUS_WORLD_H_
