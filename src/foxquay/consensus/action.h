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

/// State of the state machine as of one entry.
struct Snapshot {
  schema::SnapshotMeta meta;
  std::string data;
};

/// Writes a record and syncs it; several may share one sync. Persisted follows.
struct Persist {
  WriteId write_id;
  schema::LogRecord record;
};

/// Writes a snapshot and syncs it, after all earlier records; `log` is the
/// whole log behind it and replaces all earlier records. Persisted follows.
struct SaveSnapshot {
  WriteId write_id;
  Snapshot snapshot;
  std::vector<schema::LogRecord> log;
};

/// Sends a message; it may be lost.
struct Send {
  core::HostId to;
  schema::ConsensusMessage message;
};

/// Applies a committed command to the state machine.
struct Apply {
  Index index = 0;
  core::WallTime wall;  ///< Never decreases along the log.
  std::string payload;
};

/// Replaces the state machine's state.
struct Restore {
  Index index = 0;  ///< Last entry that the state includes.
  core::WallTime wall;
  std::string data;
};

/// A proposal was decided; if committed, its Apply came just before.
struct ProposalDecided {
  ProposalId id;
  Index index = 0;        ///< 0 unless committed.
  std::error_code error;  ///< Unset if committed; see Error.
};

/// The known leader changed.
struct LeaderChanged {
  std::optional<schema::ReplicaId> leader;
  Term term = 0;
};

/// The voters changed; the change may still be undone by a new leader.
struct MembersChanged {
  schema::Configuration configuration;
};

/// Asks for a SnapshotTaken, now or soon.
struct TakeSnapshot {};

using Action =
    std::variant<Persist, SaveSnapshot, Send, Apply, Restore, ProposalDecided,
                 LeaderChanged, MembersChanged, TakeSnapshot>;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_ACTION_H_
