#ifndef FOXQUAY_CONSENSUS_FWD_H_
#define FOXQUAY_CONSENSUS_FWD_H_

#include <cstdint>

#include "foxquay/core/fwd.h"

namespace foxquay::consensus {

/// Position in the log, counted from 1; 0 is before the first entry.
using Index = std::uint64_t;
/// Number of a leadership; at most one leader per term.
using Term = std::uint64_t;

struct ProposalTag;
struct WriteIdTag;
/// Names a proposal; chosen by the shell, unique within its process.
using ProposalId = core::NumericId<ProposalTag>;
/// Identifies a write of one replica; increases by one with each write.
using WriteId = core::NumericId<WriteIdTag>;

class Replica;
struct Options;
struct PersistentState;
struct Snapshot;
enum class Error;
enum class Role : std::uint8_t;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_FWD_H_
