#ifndef FOXQUAY_DAEMON_CONTROL_REPLICA_H_
#define FOXQUAY_DAEMON_CONTROL_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "foxquay/consensus/replica.h"
#include "foxquay/control/in_force_tracker.h"
#include "foxquay/control/state.h"
#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"
#include "foxquay/schema/control.h"

namespace foxquay::daemon {

/// A consensus replica and the control state to which it applies the log.
///
/// Not thread-safe: runs on the control thread. Performs no I/O of its own.
class ControlReplica {
 public:
  /// Callbacks that carry out the actions of the replica.
  struct Output {
    std::function<void(const core::HostId&, const schema::ConsensusMessage&)>
        send;
    std::function<void(consensus::Persist&&)> persist;
    std::function<void(consensus::SaveSnapshot&&)> save_snapshot;
    /// Called after each event, since it may have changed the state, its age or
    /// the leader.
    std::function<void()> changed;
    /// Called if a snapshot does not decode; the replica must not continue.
    std::function<void(std::error_code)> failed;
  };
  using Done = std::function<void(core::Result<schema::ControlResult>)>;

  /// `lease` is the duration of a configuration lease, equal on all hosts.
  ///
  /// Precondition: RestoreState succeeds for `durable`.
  ControlReplica(consensus::Options options, consensus::PersistentState durable,
                 Output output, core::Duration lease, core::Instant now);

  /// Handles an event and performs the resulting actions. An event that one of
  /// these raises is handled after the remaining actions.
  void Handle(const consensus::Event& event, core::Instant now);

  /// Proposes an encoded command, to be applied with the wall-clock time
  /// `wall`; `done` gets kNotLeader if another replica leads, kTooLarge if the
  /// command exceeds schema::kMaxCommandBytes, kUnavailable if the result is
  /// unknown. A large command that is already open is not
  /// proposed again: both get its result.
  void Propose(std::string command, core::WallTime wall, core::Instant now,
               Done done);

  /// Returns the result of a change of the fleet configuration that the applied
  /// state has overtaken, so that it need not be proposed.
  [[nodiscard]] std::optional<schema::FleetResult> FindResult(
      const schema::PutFleet& command) const;

  /// Answers an observer's poll if this replica leads and its age is known.
  [[nodiscard]] std::optional<schema::ConfigReply> Answer(
      const schema::ConfigPoll& poll, core::Instant now,
      std::size_t max_content = control::kUnlimitedContent);

  /// Returns whether the configuration entry `sequence` is in force; nothing
  /// unless this replica leads and holds its lease.
  [[nodiscard]] std::optional<control::InForce> CheckInForce(
      std::uint64_t sequence, core::Instant now) const;

  /// Returns the time since the applied state was last confirmed to be current;
  /// nothing if it has not been confirmed.
  [[nodiscard]] std::optional<core::Duration> Age(core::Instant now) const;

  [[nodiscard]] bool leads() const noexcept {
    return replica_.role() == consensus::Role::kLeader;
  }
  /// Returns the host of the leader; empty if unknown.
  [[nodiscard]] core::HostId leader() const;
  [[nodiscard]] const control::State& state() const noexcept { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const noexcept {
    return replica_;
  }

 private:
  void Perform(consensus::Persist&& action, core::Instant now);
  void Perform(consensus::SaveSnapshot&& action, core::Instant now);
  void Perform(consensus::Send&& action, core::Instant now);
  void Perform(consensus::Apply&& action, core::Instant now);
  void Perform(consensus::Restore&& action, core::Instant now);
  void Perform(consensus::ProposalDecided&& action, core::Instant now);
  void Perform(consensus::LeaderChanged&& action, core::Instant now);
  void Perform(consensus::MembersChanged&& action, core::Instant now);
  void Perform(consensus::TakeSnapshot&& action, core::Instant now);
  /// A proposal that is not decided.
  struct OpenProposal {
    std::string command;  ///< Empty unless it is large.
    std::vector<Done> done;
  };

  void TrackCommits(std::uint64_t previous_sequence, core::Instant now);

  Output output_;
  core::Duration lease_;
  std::deque<consensus::Event> events_;
  bool handling_ = false;
  control::State state_;
  consensus::Replica replica_;
  std::optional<control::InForceTracker> tracker_;
  std::map<consensus::ProposalId, OpenProposal> proposals_;
  std::uint64_t next_proposal_ = 1;
  std::uint64_t last_index_ = 0;
  schema::ControlResult last_result_;
};

/// Returns the state in a recovered snapshot, or the initial state without one;
/// kCorrupt if the snapshot does not decode.
[[nodiscard]] core::Result<control::State> RestoreState(
    const consensus::PersistentState& durable);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_REPLICA_H_
