#ifndef FOXQUAY_CONSENSUS_STATE_H_
#define FOXQUAY_CONSENSUS_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/consensus/action.h"
#include "foxquay/consensus/event.h"
#include "foxquay/consensus/log.h"
#include "foxquay/consensus/progress.h"
#include "foxquay/consensus/replica.h"
#include "foxquay/consensus/write_tracker.h"

namespace foxquay::consensus {

/// State and transitions of a Replica. The definitions are grouped by concern
/// in replica.cc, election.cc, replication.cc, transfer.cc, members.cc,
/// leave.cc and join.cc.
class Replica::State {
 public:
  State(Options options, PersistentState persistent_state, core::Instant now);

  std::vector<Action> Handle(const Event& event, core::Instant now);
  [[nodiscard]] core::Instant NextDeadline() const noexcept;
  [[nodiscard]] bool HoldsLease(core::Instant now) const;
  [[nodiscard]] bool MayStop() const;
  [[nodiscard]] std::size_t MaxCommandBytes() const;

  [[nodiscard]] Role role() const noexcept { return role_; }
  [[nodiscard]] Term term() const noexcept { return term_; }
  [[nodiscard]] const std::optional<schema::ReplicaId>& leader() const {
    return leader_;
  }
  [[nodiscard]] const internal::Log& log() const noexcept { return log_; }
  [[nodiscard]] Index commit() const noexcept { return commit_; }
  [[nodiscard]] Index applied() const noexcept { return applied_; }
  [[nodiscard]] std::optional<core::Instant> fresh_as_of() const noexcept {
    return fresh_as_of_;
  }

 private:
  /// No entry after `commit` had been committed at `at`: a state that includes
  /// `commit` is fresh as of `at`.
  struct FreshnessPoint {
    core::Instant at;
    Index commit = 0;
  };
  /// A message that is sent once the write is on disk.
  struct PendingSend {
    WriteId write_id;
    Send send;
  };
  /// A snapshot that is being received.
  struct Transfer {
    schema::SnapshotMeta meta;
    std::string data;  ///< Received so far, from offset 0.
  };

  // replica.cc
  void On(const Received& event);
  void On(const Tick& event);
  void On(const Propose& event);
  void On(const Persisted& event);
  void On(const SnapshotTaken& event);
  void On(const Retire& event);
  void CheckTimers();
  void AppendEntry(schema::EntryKind kind, std::string payload,
                   core::WallTime wall);
  void ApplyCommitted();
  /// Returns whether a replica that answers is being sent the current snapshot.
  [[nodiscard]] bool TransfersSnapshot() const;
  /// Discards the entries that a snapshot holds, but for the last ones, which
  /// replicas that are a little behind still need.
  void CompactBefore(Index snapshot);
  void ApplyEntry(const schema::LogEntry& entry);
  void AdvanceFreshness();
  void PersistChanges();
  void ReleasePendingSends();
  void ReportChanges();
  /// Sends a message once the given write is on disk.
  void SendAfterWrite(schema::ConsensusMessage message, WriteId write_id);
  [[nodiscard]] schema::MessageHeader Header(const schema::ReplicaId& to) const;
  [[nodiscard]] bool IsVoter(const schema::ReplicaId& id) const;
  /// Returns whether this replica has no configuration: it belongs to no group.
  [[nodiscard]] bool IsNew() const noexcept;

  // election.cc
  void ResetElectionDeadline();
  [[nodiscard]] bool HasRecentLeaderContact() const;
  /// Adopts `term` if it is newer, gives up any leadership or candidacy and
  /// follows `leader` if it is known.
  void StepDown(Term term, std::optional<schema::ReplicaId> leader);
  /// Starts a pre-vote if `pre`, else an election in a new term.
  void Campaign(bool pre);
  void CountVotes();
  void BecomeLeader();
  void On(const schema::VoteRequest& request);
  void On(const schema::VoteReply& reply);
  /// Returns whether the candidate's log is at least as up to date as this one.
  [[nodiscard]] bool IsUpToDate(const schema::VoteRequest& request) const;
  /// Returns kFollower for a voter of the latest configuration, else kLearner.
  [[nodiscard]] Role RoleFromConfiguration() const;

  // replication.cc
  /// Sends to each replica what it is missing; with `heartbeat`, an empty
  /// AppendRequest where no entries are due.
  void ReplicateToAll(bool heartbeat);
  void Replicate(const schema::ReplicaId& id, internal::Progress& progress,
                 bool heartbeat);
  void SendEntries(const schema::ReplicaId& id, internal::Progress& progress);
  void SendHeartbeat(const schema::ReplicaId& id,
                     const internal::Progress& progress);
  [[nodiscard]] schema::AppendRequest MakeAppendRequest(
      const schema::ReplicaId& id, const internal::Progress& progress);
  void AdvanceCommit();
  /// Returns whether this replica leads and has committed an entry of its term.
  [[nodiscard]] bool HasCommittedInTerm() const;
  /// Returns the latest instant by whose messages, or later ones, a quorum has
  /// acknowledged this leader; the leader itself counts as `now`.
  [[nodiscard]] std::optional<core::Instant> QuorumAckTime(
      core::Instant now) const;
  void On(const schema::AppendRequest& request);
  void On(const schema::AppendReply& reply);
  /// Follows the sender of a leader's message; returns false if its term is
  /// outdated.
  bool AcceptLeader(const schema::MessageHeader& header);
  void RecordFreshness(const schema::AppendRequest& request);
  void AppendAndReply(const schema::AppendRequest& request);
  void StoreEntries(const schema::AppendRequest& request);
  /// Returns the entry after which the leader should try next, given that its
  /// `previous` entry did not match.
  [[nodiscard]] Index RetryHint(Index previous) const;
  void ReplyToAppend(const schema::MessageHeader& to, std::uint64_t sequence,
                     core::Duration sent, bool accepted, Index match);
  /// Records a reply to a request of `request_term` that was sent at `sent`.
  /// Returns the sender's progress, or nullptr if the reply is of no use.
  internal::Progress* RecordReply(const schema::MessageHeader& header,
                                  Term request_term, core::Duration sent);

  // entry_limit.cc
  /// Tells a replica which entries this one reads.
  void SendEntryLimit(const schema::ReplicaId& to);
  void On(const schema::EntryLimit& limit);
  /// Returns the largest entry that a replica reads, as far as it has stated
  /// it.
  [[nodiscard]] std::size_t ReadableBytes(
      const internal::Progress& progress) const;
  /// Returns the largest entry that a quorum reads.
  [[nodiscard]] std::size_t QuorumReadableBytes() const;
  /// Returns whether a replica cannot read the next entry that it lacks. It
  /// gets the snapshot that holds it instead.
  [[nodiscard]] bool LacksUnreadableEntry(
      const internal::Progress& progress) const;
  /// Returns whether the next entry to be committed has not been for long and
  /// cannot be, as no quorum reads it: an earlier leader has accepted it.
  [[nodiscard]] bool HoldsUnreadableEntry() const;

  // transfer.cc
  void SendSnapshotChunk(const schema::ReplicaId& id,
                         internal::Progress& progress);
  void On(const schema::SnapshotChunk& chunk);
  void On(const schema::SnapshotReply& reply);
  void InstallSnapshot();
  /// `covered` tells that the earlier writes hold all that the snapshot does.
  void SaveCurrentSnapshot(bool covered = false);
  /// Returns the entries after `index` as records of bounded size.
  [[nodiscard]] std::vector<schema::LogRecord> LogRecordsAfter(
      Index index) const;

  // members.cc
  /// Starts or continues a change of the voters if one is due.
  void UpdateMembership();
  /// Completes a joint configuration as soon as it is committed.
  void CompleteChange();
  /// Appends a joint configuration in which `to` replaces the voter `from`.
  void ReplaceVoter(const schema::ReplicaId& from, const schema::ReplicaId& to);
  [[nodiscard]] bool ReplaceLostVoter();
  [[nodiscard]] bool ReplaceLeavingVoter();
  /// Gives a vote back to a replica that has sent a ReturnRequest.
  void ReturnVote();
  /// Returns whether a vote may move from a voter that answers.
  [[nodiscard]] bool MayMoveVotes() const;
  /// Returns whether a change of the voters is under way.
  [[nodiscard]] bool IsChangingVoters() const;
  /// Returns whether the process of a replica is about to stop in order.
  [[nodiscard]] bool IsLeaving(const schema::ReplicaId& id) const;
  /// Returns whether the leader may yet move the vote of a leaving voter.
  [[nodiscard]] bool IsMovePending(const schema::ReplicaId& voter) const;
  /// Returns the time since a voter was known to be alive.
  [[nodiscard]] core::Duration Silence(const schema::ReplicaId& voter) const;
  [[nodiscard]] bool IsAlive(const internal::Progress& progress) const;
  [[nodiscard]] bool IsCaughtUp(const internal::Progress& progress) const;
  /// Returns a learner that may become a voter, on `host` if given.
  [[nodiscard]] std::optional<schema::ReplicaId> FindCaughtUpLearner(
      const std::optional<core::HostId>& host) const;
  /// Returns whether another incarnation has joined on the host of a voter
  /// since the last request that the voter has answered.
  [[nodiscard]] bool HasNewIncarnation(const schema::ReplicaId& voter) const;
  /// Returns the learner that is to replace a lost voter, if any.
  [[nodiscard]] std::optional<schema::ReplicaId> FindReplacement(
      const schema::ReplicaId& voter) const;
  void AppendConfiguration(const schema::Configuration& configuration);

  // leave.cc
  /// Asks the leader to move this replica's vote, repeatedly.
  void RequestLeave();
  void On(const schema::LeaveRequest& request);
  void On(const schema::LeaveReply& reply);
  /// Determines whether another replica has taken over this one's vote.
  void FindStandIn();
  /// Asks the leader to give this replica its vote back.
  void RequestReturn();
  void On(const schema::ReturnRequest& request);

  // join.cc
  void RequestJoin();
  /// Starts to replicate the log to a replica as a learner.
  void Admit(const schema::ReplicaId& joiner, bool fresh);
  /// Forgets the learner that has been silent for longest, such as one on a
  /// removed host; returns whether there is one.
  bool ForgetLearner();
  /// Keeps a request to join for the case that this replica becomes the leader.
  void RememberJoiner(const schema::JoinRequest& request);
  /// Admits the senders of recent requests.
  void AdmitJoiners();
  /// Passes the request of a replica that knows only this host on to the
  /// leader.
  void ForwardToLeader(schema::JoinRequest request);
  void TryFormGroup();
  /// Returns whether so many standbys have answered that none of them would
  /// belong to a group that has a quorum among the standbys. The disks of all
  /// founders may have been lost, one after the other.
  [[nodiscard]] bool StandbysHaveNoGroup() const;
  void On(const schema::JoinRequest& request);
  void On(const schema::JoinReply& reply);

  Options options_;
  std::mt19937_64 random_;
  std::uint64_t session_ = 0;  ///< Random number of this process.
  core::Instant now_;

  Term term_ = 0;
  std::optional<schema::ReplicaId> vote_;
  Snapshot snapshot_;
  internal::Log log_;
  internal::WriteTracker writes_;
  Index commit_ = 0;
  Index applied_ = 0;

  Role role_ = Role::kLearner;
  std::optional<schema::ReplicaId> leader_;  ///< Of `term_`, if known.
  core::Instant committed_at_;               ///< When commit_ has last changed.
  core::Instant abstain_until_;              ///< No candidacy before.
  core::Instant last_contact_;  ///< With a leader; initially the start time.
  core::Instant started_at_;
  /// Leader of the last contact; unset before the first one.
  std::optional<schema::ReplicaId> last_leader_;
  core::Instant election_deadline_;
  std::set<schema::ReplicaId, internal::ReplicaLess> votes_;

  internal::ProgressMap progress_;
  core::Instant heartbeat_deadline_;
  core::Instant leading_since_;
  Index term_start_ = 0;        ///< First entry that this leader appended.
  std::uint64_t sequence_ = 0;  ///< Of the last message with a sequence number.
  std::map<Index, ProposalId> open_proposals_;

  std::optional<Transfer> transfer_;
  bool snapshot_requested_ = false;
  std::size_t applied_bytes_ = 0;    ///< Of entries after the snapshot.
  std::size_t largest_applied_ = 0;  ///< Of these, in bytes.
  /// Points whose `commit` has not been applied yet, in order of arrival.
  std::deque<FreshnessPoint> freshness_;
  std::optional<core::Instant> fresh_as_of_;

  /// Replicas that answered a JoinRequest of this replica, by host.
  std::map<core::HostId, schema::ReplicaId> join_responders_;
  /// A request to join that this replica could not grant.
  struct Joiner {
    schema::ReplicaId id;
    bool fresh = false;
    core::Instant at;
  };
  std::map<core::HostId, Joiner> joiners_;  ///< The latest of each host.
  bool group_exists_ = false;  ///< One of them has a configuration.

  core::Instant next_entry_limit_;  ///< To the leader.
  Term entry_limit_term_ = 0;       ///< In which one was sent last.
  /// Leader that has stated the largest entry it reads, and that size.
  std::optional<schema::ReplicaId> limit_leader_;
  std::size_t leader_max_payload_ = 0;

  bool retiring_ = false;  ///< The process is about to stop.
  core::Instant next_leave_request_;
  /// The leader knows of the stop and has no vote to move for it.
  bool leave_settled_ = false;
  /// Voter that took over this replica's vote while the process was down.
  std::optional<schema::ReplicaId> stand_in_;
  core::Instant next_return_request_;

  // Values in the latest LeaderChanged and MembersChanged.
  std::optional<schema::ReplicaId> reported_leader_;
  Term reported_term_ = 0;
  schema::Configuration reported_members_;
  std::deque<PendingSend> pending_sends_;
  std::vector<Action> actions_;  ///< To be returned by Handle.
};

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_STATE_H_
