#ifndef FOXQUAY_PLACEMENT_OUTLOOK_H_
#define FOXQUAY_PLACEMENT_OUTLOOK_H_

#include <cstddef>
#include <vector>

#include "foxquay/placement/pool.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement::internal {

/// Upstreams that fail together: those of one rack or power supply.
inline constexpr std::size_t kGroupSize = 4;

/// Returns the members that follow `first` in one chain, itself included, up to
/// `size`, as positions in the pool. Nothing names the upstreams that fail
/// together; those of one chain are the ones whose loss hurts most.
/// Precondition: the member at `first` holds layers. Thread-safe.
[[nodiscard]] std::vector<std::size_t> GroupFrom(const Pool& pool,
                                                 std::size_t first,
                                                 std::size_t size);

/// Returns how many requests of the usual size the pool completes per second
/// while it holds as many as it can: the more copies, the fewer requests share
/// a stage, and the less memory is left for them. The fastest chain takes
/// requests until one of its stages is full, then the next one. The requests
/// that are held if the engine states no times. Thread-safe.
[[nodiscard]] double Throughput(const schema::Engine& engine, const Pool& pool);

/// Returns the throughput that counts in the choice of a placement: the mean of
/// that of the pool as it is, after the loss of its largest stage and after the
/// loss of the group with the most layers, both repaired by what is left.
/// Thread-safe.
[[nodiscard]] double ExpectedThroughput(const schema::Engine& engine,
                                        const Pool& pool);

}  // namespace foxquay::placement::internal

#endif  // FOXQUAY_PLACEMENT_OUTLOOK_H_
