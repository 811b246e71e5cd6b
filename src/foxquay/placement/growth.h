#ifndef FOXQUAY_PLACEMENT_GROWTH_H_
#define FOXQUAY_PLACEMENT_GROWTH_H_

#include "foxquay/placement/pool.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement::internal {

/// Places copies of the model on a pool that holds no layers: about
/// CopiesThatFit, or fewer if these do not fit, with the division and the spares
/// that let it complete the most (ExpectedThroughput). Does nothing if no copy
/// fits. Thread-safe.
void PlaceCopies(const schema::Engine& engine, Pool& pool);

/// Returns how many copies of the model fit in the pool if each keeps memory
/// for as many requests as its first stage has slots. Thread-safe.
[[nodiscard]] std::size_t CopiesThatFit(const schema::Engine& engine,
                                        const Pool& pool);

/// Assigns empty members the layers with the least room for requests, or the
/// first layers where slots are scarcer, as long as the pool then completes
/// more. The others stay empty as spares. Answers upstreams that are added
/// under load. Thread-safe.
void Grow(const schema::Engine& engine, Pool& pool);

}  // namespace foxquay::placement::internal

#endif  // FOXQUAY_PLACEMENT_GROWTH_H_
