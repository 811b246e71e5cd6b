#ifndef FOXQUAY_CONSENSUS_FWD_H_
#define FOXQUAY_CONSENSUS_FWD_H_

#include <cstdint>

#include "foxquay/core/fwd.h"

namespace foxquay::consensus {

/// Position of an entry in the log, starting at 1; 0 precedes the first entry.
using Index = std::uint64_t;
/// Raft term; each term has at most one leader.
using Term = std::uint64_t;

struct ProposalTag;
struct WriteIdTag;
/// Identifies a proposal; chosen by the caller, unique within its process.
using ProposalId = core::NumericId<ProposalTag>;
/// Identifies a write of one replica; increases by one with each write.
/// 0 is no write.
using WriteId = core::NumericId<WriteIdTag>;

class Replica;
struct Options;
struct PersistentState;
struct Snapshot;
enum class Error;
enum class Role : std::uint8_t;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_FWD_H_
