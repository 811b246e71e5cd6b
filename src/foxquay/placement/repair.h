#ifndef FOXQUAY_PLACEMENT_REPAIR_H_
#define FOXQUAY_PLACEMENT_REPAIR_H_

#include <cstddef>

#include "foxquay/placement/pool.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement::internal {

/// Assigns layers that no member holds to empty members, then to those that
/// hold the adjacent layers. No member gives up layers: it would accept no new
/// requests until all requests through it have ended, which would block its
/// whole chain. Thread-safe.
void FillMissingLayers(const schema::Engine& engine, Pool& pool,
                       std::size_t copies);

/// Assigns layers whose holders have less room for requests than `copies` usual
/// ones to empty members, those with the least room first. A layer with one
/// holder can be served, so no other member changes its layers. Thread-safe.
void RestoreCopies(const schema::Engine& engine, Pool& pool,
                   std::size_t copies);

/// Partitions the layers over the pool anew with as short a longest load as
/// possible. It takes layers away from members, so it is a last resort. Does
/// nothing if the layers do not fit. Thread-safe.
void RepartitionLayers(const schema::Engine& engine, Pool& pool);

}  // namespace foxquay::placement::internal

#endif  // FOXQUAY_PLACEMENT_REPAIR_H_
