#ifndef FOXQUAY_CONSENSUS_EVENT_H_
#define FOXQUAY_CONSENSUS_EVENT_H_

#include <string>
#include <variant>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus {

/// A message was received from another replica.
struct Received {
  schema::ConsensusMessage message;
};

/// A deadline may have passed. Every other event checks deadlines as well.
struct Tick {};

/// The caller proposes a command for the log.
struct Propose {
  ProposalId id;
  std::string payload;  ///< Command; opaque to the replica.
  core::WallTime wall;  ///< Wall-clock time of this host.
};

/// All writes up to and including this id have been synced to disk.
struct Persisted {
  WriteId write_id;
};

/// The state machine serialized its state as of an applied entry.
struct SnapshotTaken {
  Index index = 0;   ///< Last applied entry that the state includes.
  std::string data;  ///< Serialized state.
};

/// The process of this replica is about to stop: its vote is to move to a
/// caught-up learner, if there is one, before it does.
struct Retire {};

using Event =
    std::variant<Received, Tick, Propose, Persisted, SnapshotTaken, Retire>;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_EVENT_H_
