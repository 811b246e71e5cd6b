#ifndef FOXQUAY_CONSENSUS_EVENT_H_
#define FOXQUAY_CONSENSUS_EVENT_H_

#include <string>
#include <variant>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus {

/// A message arrived from another replica.
struct Received {
  schema::ConsensusMessage message;
};

/// Time passed; also implied by every other event.
struct Tick {};

/// A payload is to be appended to the log.
struct Propose {
  ProposalId id;
  std::string payload;
  core::WallTime wall;  ///< Wall clock of this host.
};

/// Every write up to this id has been synced to disk.
struct Persisted {
  WriteId write_id;
};

/// The state machine wrote its state as of an applied entry.
struct SnapshotTaken {
  Index index = 0;  ///< Last applied entry that the state includes.
  std::string data;
};

using Event = std::variant<Received, Tick, Propose, Persisted, SnapshotTaken>;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_EVENT_H_
