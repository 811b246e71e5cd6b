#ifndef FOXQUAY_CONSENSUS_REPLICA_H_
#define FOXQUAY_CONSENSUS_REPLICA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "foxquay/consensus/action.h"
#include "foxquay/consensus/event.h"
#include "foxquay/consensus/fwd.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus {

/// What a replica does in its term.
enum class Role : std::uint8_t {
  kLearner,       ///< Receives the log, does not vote.
  kFollower,      ///< Votes.
  kPreCandidate,  ///< Asks whether an election could be won.
  kCandidate,     ///< Asks for votes.
  kLeader,        ///< Orders the log.
};

/// Times of the protocol, on the replica's own clock.
struct Timing {
  core::Duration heartbeat = std::chrono::milliseconds(100);
  core::Duration min_election = std::chrono::milliseconds(500);
  core::Duration max_election = std::chrono::milliseconds(1000);
  /// Shorter than min_election by the rate error of two clocks, 1 % each.
  core::Duration lease = std::chrono::milliseconds(485);
  /// Silence after which a voter counts as lost and a learner takes its place.
  core::Duration replace_after = std::chrono::seconds(5);
};

/// Sizes that a replica keeps to.
struct Limits {
  std::size_t max_payload_bytes = 1U << 20U;     ///< Of one proposal.
  std::size_t max_open_proposals = 4096;         ///< At the leader.
  std::size_t max_append_bytes = 256U << 10U;    ///< Of one message.
  std::size_t max_append_entries = 1024;         ///< Of one message.
  std::size_t max_chunk_bytes = 64U << 10U;      ///< Of one snapshot chunk.
  std::size_t max_snapshot_bytes = 256U << 20U;  ///< Of a whole snapshot.
  std::size_t snapshot_entries = 10000;  ///< Applied between two snapshots.
  std::size_t trailing_entries = 1000;   ///< Kept in memory behind a snapshot.
};

/// Identity and surroundings of a replica.
struct Options {
  schema::ReplicaId self;
  /// Hosts that form a new group together, all with empty disks; the first in
  /// order of names leads the formation.
  std::vector<core::HostId> founders;
  /// Further hosts that may hold a replica, e.g. standbys.
  std::vector<core::HostId> standbys;
  /// Voters that the group grows to, as learners catch up; it keeps the number
  /// of founders if that is larger.
  std::size_t voters = 0;
  std::uint64_t seed = 1;  ///< Of all random choices; differs per process.
  Timing timing;
  Limits limits;
};

/// What a replica had written to disk when its process ended.
struct PersistentState {
  Term term = 0;
  std::optional<schema::ReplicaId> vote;
  Snapshot snapshot;
  std::vector<schema::LogEntry> entries;  ///< From snapshot index + 1 on.
};

/// One replica of a replicated log: Raft (Ongaro and Ousterhout 2014) with
/// pre-vote, check-quorum, a leader lease, learners and incarnations.
///
/// Not thread-safe. Performs no I/O and reads no clock.
class Replica {
 public:
  /// Continues from what is on disk; an empty PersistentState starts a new
  /// replica.
  Replica(Options options, PersistentState persistent_state, core::Instant now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Applies an event and returns the actions to carry out, in order.
  ///
  /// Precondition: `now` never decreases and was read after the event
  /// occurred; a cached, older time breaks the lease.
  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           core::Instant now);

  /// Returns the time by which Handle must be called with Tick.
  [[nodiscard]] core::Instant NextDeadline() const noexcept;

  [[nodiscard]] Role role() const noexcept;
  [[nodiscard]] Term term() const noexcept;
  /// Returns the leader of this term, if known.
  [[nodiscard]] std::optional<schema::ReplicaId> leader() const;
  /// Returns the latest voters in the log, committed or not.
  [[nodiscard]] const schema::Configuration& configuration() const noexcept;
  /// Returns the last entry known to be committed.
  [[nodiscard]] Index commit() const noexcept;
  /// Returns the last entry passed to the state machine.
  [[nodiscard]] Index applied() const noexcept;

  /// Returns whether this replica leads and no other can have been elected.
  [[nodiscard]] bool HoldsLease(core::Instant now) const;

  /// Returns the latest instant, on this replica's clock, at which its applied
  /// state held every entry committed by then; none before the first contact.
  ///
  /// At the leader this is when a quorum last confirmed its leadership; a
  /// follower derives it from the leader's age and allows for clock rate
  /// errors. The age of a read is `now` minus this instant.
  [[nodiscard]] std::optional<core::Instant> FreshAsOf() const noexcept;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_REPLICA_H_
