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
#include "foxquay/schema/sizes.h"

namespace foxquay::consensus {

/// Role of a replica in its current term.
enum class Role : std::uint8_t {
  kLearner,       ///< Receives the log but does not vote.
  kFollower,      ///< Receives the log and votes.
  kPreCandidate,  ///< Asks whether it would win an election.
  kCandidate,     ///< Asks for votes in a new term.
  kLeader,        ///< Appends entries and replicates them.
};

/// Timeouts of the protocol, measured on the replica's own clock.
struct Timing {
  /// Interval between heartbeats of the leader.
  core::Duration heartbeat = std::chrono::milliseconds(100);
  /// Bounds of the election timeout, which is drawn at random.
  core::Duration min_election = std::chrono::milliseconds(500);
  core::Duration max_election = std::chrono::milliseconds(1000);
  /// Validity of the leader lease after a quorum acknowledged the leader.
  /// Shorter than min_election by the rate error of two clocks, 1 % each.
  core::Duration lease = std::chrono::milliseconds(485);
  /// Time without a reply after which a voter counts as lost and a caught-up
  /// learner replaces it; longer than max_election.
  core::Duration replace_after = std::chrono::seconds(2);
};

/// Returns the default timing, with replace_after chosen such that a voter that
/// falls silent is replaced within `catch_up` (MaxReplacementTime), the time
/// after which the loss of another one has to be borne.
[[nodiscard]] Timing MakeTiming(core::Duration catch_up);

/// Returns the longest time from the end of a voter's process until a caught-up
/// learner has its vote, on a network and disks that answer within a heartbeat
/// interval: the sum of the timers of the protocol. The voter may have been the
/// leader.
[[nodiscard]] core::Duration MaxReplacementTime(const Timing& timing);

/// Largest number of voters: a configuration names them and, during a change,
/// one more.
inline constexpr std::size_t kMaxVoters = schema::Configuration::kMaxVoters - 1;

/// Limits on the size of proposals, messages, snapshots and the log.
struct Limits {
  std::size_t max_payload_bytes = schema::kMaxCommandBytes;  ///< Per proposal.
  /// Per entry that this replica reads.
  std::size_t max_readable_bytes = schema::LogEntry::kMaxPayload;
  /// Per entry that a replica reads which has sent no schema::EntryLimit.
  std::size_t basic_payload_bytes = schema::kBasicCommandBytes;
  std::size_t max_open_proposals = 4096;         ///< Per leader.
  std::size_t max_append_bytes = 256U << 10U;    ///< Per AppendRequest.
  std::size_t max_append_entries = 1024;         ///< Per AppendRequest.
  std::size_t max_chunk_bytes = 64U << 10U;      ///< Per SnapshotChunk.
  std::size_t max_snapshot_bytes = 256U << 20U;  ///< Per received snapshot.
  std::size_t snapshot_entries = 10000;  ///< Entries applied between snapshots.
  /// Bytes applied between snapshots: a small part of the memory and the disk
  /// of a control host.
  std::size_t snapshot_bytes = 8U << 20U;
  /// As snapshot_bytes, while a replica receives a snapshot, which a newer one
  /// would start anew.
  std::size_t transfer_bytes = 32U << 20U;
  std::size_t trailing_entries = 1000;  ///< Kept in memory before a snapshot.
  std::size_t trailing_bytes = 2U << 20U;  ///< As trailing_entries.
};

/// Configuration of a replica.
struct Options {
  schema::ReplicaId self;
  /// Hosts that form a new group. All must start with empty disks; the one
  /// whose name sorts first forms the group.
  std::vector<core::HostId> founders;
  /// Other hosts that may run a replica.
  std::vector<core::HostId> standbys;
  /// Number of voters up to which caught-up learners are added. The group never
  /// has fewer voters than founders.
  std::size_t voters = 0;
  std::uint64_t seed = 1;  ///< Random seed; must differ between processes.
  Timing timing;
  Limits limits;
};

/// Persistent state of a replica, as read from disk at start.
struct PersistentState {
  Term term = 0;                          ///< Latest term seen.
  std::optional<schema::ReplicaId> vote;  ///< Vote cast in that term, if any.
  Snapshot snapshot;
  std::vector<schema::LogEntry> entries;  ///< From the snapshot's index + 1 on.
};

/// One replica of a replicated log. Implements Raft (Ongaro and Ousterhout
/// 2014) with pre-vote, check-quorum, a leader lease, learners and
/// incarnations.
///
/// A deterministic state machine: consumes events and returns actions for the
/// caller to carry out. Performs no I/O and reads no clock. Not thread-safe.
class Replica {
 public:
  /// Continues from the persistent state; an empty one makes a new replica.
  ///
  /// `now` is the current time on the clock that Handle uses.
  Replica(Options options, PersistentState persistent_state, core::Instant now);
  ~Replica();
  Replica(Replica&&) noexcept;
  Replica& operator=(Replica&&) noexcept;
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Handles an event and returns the actions that the caller must carry out,
  /// in order.
  ///
  /// Precondition: `now` never decreases and was read after the event occurred.
  /// A cached, older time breaks the lease.
  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           core::Instant now);

  /// Returns the time at which Handle must be called with Tick.
  [[nodiscard]] core::Instant NextDeadline() const noexcept;

  [[nodiscard]] Role role() const noexcept;
  [[nodiscard]] Term term() const noexcept;
  /// Returns the leader of the current term, if known.
  [[nodiscard]] std::optional<schema::ReplicaId> leader() const;
  /// Returns the latest configuration in the log, committed or not.
  [[nodiscard]] const schema::Configuration& configuration() const noexcept;
  /// Returns the index of the last entry known to be committed.
  [[nodiscard]] Index commit() const noexcept;
  /// Returns the index of the last entry passed to the state machine.
  [[nodiscard]] Index applied() const noexcept;
  /// Returns the bytes of the entries that are kept in memory.
  [[nodiscard]] std::size_t log_bytes() const noexcept;

  /// Returns whether this replica is the leader and no other replica can have
  /// been elected by `now`.
  [[nodiscard]] bool HoldsLease(core::Instant now) const;

  /// Returns the latest instant, on this replica's clock, such that the applied
  /// state is known to include every entry committed by then; nullopt before
  /// the first contact with a leader or a quorum.
  ///
  /// For the leader this is the last time at which a quorum acknowledged it. A
  /// follower derives it from the age that the leader sends, with an allowance
  /// for clock rate errors. The age of a read is `now` minus this instant.
  [[nodiscard]] std::optional<core::Instant> FreshAsOf() const noexcept;

  /// Returns the largest command that the leader takes, as far as this replica
  /// knows: the leader and a quorum have stated that they read it.
  [[nodiscard]] std::size_t MaxCommandBytes() const;

  /// Returns whether the process may end after Retire without a loss to the
  /// group that waiting could prevent: the vote has moved to another replica,
  /// or the leader knows none that could take it over. False before Retire.
  [[nodiscard]] bool MayStop() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_REPLICA_H_
