#ifndef FOXQUAY_CONSENSUS_ACTION_H_
#define FOXQUAY_CONSENSUS_ACTION_H_

#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus {

/// Serialized state of the state machine as of one entry.
struct Snapshot {
  schema::SnapshotMeta meta;
  std::string data;
};

/// Write the record to disk and sync it, then report Persisted. Several records
/// may share one sync.
struct Persist {
  WriteId write_id;
  schema::LogRecord record;
};

/// Write the snapshot to disk after all earlier records and sync it, then
/// report Persisted.
struct SaveSnapshot {
  WriteId write_id;
  Snapshot snapshot;
  /// The whole log after the snapshot; replaces all earlier records.
  std::vector<schema::LogRecord> log;
  /// Whether what was written before holds all of it, so that a disk without
  /// room for it may skip it and keep the earlier snapshot and records.
  bool covered = false;
};

/// Send a message. Delivery is not required.
struct Send {
  core::HostId to;
  schema::ConsensusMessage message;
};

/// Apply a committed command to the state machine.
struct Apply {
  Index index = 0;
  core::WallTime wall;  ///< Wall-clock time; never decreases along the log.
  std::string payload;
};

/// Replace the state of the state machine with a snapshot.
struct Restore {
  Index index = 0;      ///< Last entry that the state includes.
  core::WallTime wall;  ///< Wall-clock time of that entry.
  std::string data;     ///< Serialized state.
};

/// A proposal was committed or rejected, or its outcome is unknown. If it was
/// committed, the preceding action is its Apply.
struct ProposalDecided {
  ProposalId id;
  Index index = 0;        ///< 0 unless committed.
  std::error_code error;  ///< Set unless committed; see Error.
};

/// The leader known to this replica or the term changed.
struct LeaderChanged {
  std::optional<schema::ReplicaId> leader;
  Term term = 0;
};

/// The latest configuration in the log changed. It may be uncommitted, in which
/// case a new leader can still revert it.
struct MembersChanged {
  schema::Configuration configuration;
};

/// Serialize the state machine and report SnapshotTaken, now or later.
struct TakeSnapshot {};

using Action =
    std::variant<Persist, SaveSnapshot, Send, Apply, Restore, ProposalDecided,
                 LeaderChanged, MembersChanged, TakeSnapshot>;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_ACTION_H_
