#ifndef FOXQUAY_SCHEDULING_FWD_H_
#define FOXQUAY_SCHEDULING_FWD_H_

#include <cstddef>

#include "foxquay/core/fwd.h"

namespace foxquay::scheduling {

struct PoolTag;

/// Identifies a pool: the set of upstreams of one model or service, which share
/// its work.
using PoolId = core::StringId<PoolTag>;

struct Weights;
struct Ticket;
enum class Verdict : std::uint8_t;
class FairQueue;
struct Commitment;
class Commitments;
struct LegShape;
struct LegTiming;
class ServiceEstimator;
struct Demand;
struct QueueState;
struct Refusal;
class Admission;
class ServiceRate;
class InFlightLimit;
class RetryBudget;
class RetryBudgets;

/// Workspaces whose state is kept at once: the 6,600 of the design size and a
/// quarter more.
inline constexpr std::size_t kMaxWorkspaces = 8250;

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_FWD_H_
