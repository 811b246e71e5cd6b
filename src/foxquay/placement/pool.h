#ifndef FOXQUAY_PLACEMENT_POOL_H_
#define FOXQUAY_PLACEMENT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxquay/placement/plan.h"
#include "foxquay/placement/range.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement::internal {

/// An upstream in a pool.
struct Member {
  std::size_t index = 0;  ///< Position among the upstreams of the model.
  const schema::Accelerator* accelerator = nullptr;  ///< Never null in a pool.
  Range layers;  ///< Empty if it holds none.
};

/// Upstreams over which complete copies of a model are placed: those of a data
/// centre, in the order of their ids.
using Pool = std::vector<Member>;

/// Returns the pools of the data centres, ordered by data centre. All data
/// centres that cannot hold a complete copy form one pool, the last. Upstreams
/// with an unknown accelerator are left out. Thread-safe.
[[nodiscard]] std::vector<Pool> SplitByDataCentre(
    const schema::Engine& engine, const std::vector<ModelUpstream>& upstreams);

/// Returns how many layers fit on an accelerator while it keeps memory for
/// `tokens` tokens of requests. Thread-safe.
[[nodiscard]] std::uint32_t LayersThatFit(
    const schema::Engine& engine, const schema::Accelerator& accelerator,
    double tokens);

/// Returns how many tokens of requests fit beside `layers` layers.
/// Precondition: `layers` is above 0. Thread-safe.
[[nodiscard]] double TokensThatFit(const schema::Engine& engine,
                                   const schema::Accelerator& accelerator,
                                   std::uint32_t layers);

/// Returns how many layers fit in the pool while each member keeps memory for
/// `tokens` tokens of requests. Thread-safe.
[[nodiscard]] std::uint32_t LayerCapacity(const schema::Engine& engine,
                                          const Pool& pool, double tokens);

/// Returns the most tokens of requests for which every member of the pool can
/// keep memory while the pool holds `layers` layers. Thread-safe.
[[nodiscard]] double CommonTokenCapacity(const schema::Engine& engine,
                                         const Pool& pool, std::size_t layers);

/// Returns for each layer how many members hold it. Thread-safe.
[[nodiscard]] std::vector<std::size_t> CountHolders(
    const schema::Engine& engine, const Pool& pool);

/// Returns how many copies of the model are placed: the median number of
/// holders of a layer, as the loss of a group affects some layers only.
/// Precondition: the model has layers. Thread-safe.
[[nodiscard]] std::size_t PlacedCopies(const schema::Engine& engine,
                                       const Pool& pool);

/// Returns the first run of layers with a count below `least`; empty if there
/// is none. Thread-safe.
[[nodiscard]] Range FindFirstGap(const std::vector<std::size_t>& counts,
                                 std::size_t least);

/// Returns the members without layers. Thread-safe.
[[nodiscard]] Pool EmptyMembers(const Pool& pool);

}  // namespace foxquay::placement::internal

#endif  // FOXQUAY_PLACEMENT_POOL_H_
