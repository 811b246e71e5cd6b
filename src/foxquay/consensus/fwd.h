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
struct TicketTag;
/// Names a proposal; chosen by the shell, unique within its process.
using ProposalId = core::NumericId<ProposalTag>;
/// Numbers the writes of one replica; grows by one with each.
using Ticket = core::NumericId<TicketTag>;

class Replica;
struct Options;
struct Durable;
struct Snapshot;
enum class Error;
enum class Role : std::uint8_t;

}  // namespace foxquay::consensus

#endif  // FOXQUAY_CONSENSUS_FWD_H_
