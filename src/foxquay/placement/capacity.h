#ifndef FOXQUAY_PLACEMENT_CAPACITY_H_
#define FOXQUAY_PLACEMENT_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/placement/plan.h"
#include "foxquay/placement/pool.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// Fraction of the memory beside the layers that requests may take. Beyond it,
/// an engine preempts its newest request.
inline constexpr double kUsableMemoryFraction = 0.9;

/// What keeps a data centre from holding more requests at once.
enum class Limit : std::uint8_t {
  kMissingLayer,  ///< No chain exists.
  kMemory,        ///< Memory for requests at some layers.
  kSlots,         ///< Slots of the first stages.
};

/// Requests of the usual size that a placement holds at once.
struct Capacity {
  std::uint32_t requests = 0;
  Limit limit = Limit::kMissingLayer;
  /// First layer of the first stage that is full; of a missing layer, its
  /// number.
  std::uint32_t layer = 0;

  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// The placement of a model in one data centre, or in all of those that cannot
/// hold a complete copy by themselves.
struct CentreCapacity {
  core::DataCentreId data_centre;  ///< The first one if there are several.
  std::size_t upstreams = 0;
  std::size_t copies = 0;  ///< Median number of holders of a layer.
  std::size_t spares = 0;  ///< Upstreams without layers.
  Capacity capacity;

  friend bool operator==(const CentreCapacity&,
                         const CentreCapacity&) = default;
};

/// Returns the tokens that a request of the usual size holds in memory on
/// average: its answer grows from zero to its full length. At least 1.
/// Thread-safe.
[[nodiscard]] double UsualTokens(const schema::Engine& engine);

/// Returns what the placement of `upstreams` holds in each data centre, ordered
/// by data centre.
///
/// Computed as a maximum flow (Dinic, 1970) from layer 0 to the last layer
/// through the upstreams. An upstream bears as many requests as fit in the
/// usable memory beside its layers, and as the first stage of a chain no more
/// than it has slots. A stage may follow another one if it holds the layer at
/// which that one ends, and runs the rest of its layers, as in CheapestChain.
/// Chains that cross between data centres and the largest number of stages are
/// not considered. About 0.1 ms for a data centre of 50 upstreams on a whole
/// core. Thread-safe.
[[nodiscard]] std::vector<CentreCapacity> MeasureCapacity(
    const schema::Engine& engine, const std::vector<ModelUpstream>& upstreams);

namespace internal {

/// Returns what the pool holds; see MeasureCapacity. Thread-safe.
[[nodiscard]] Capacity MeasurePool(const schema::Engine& engine,
                                   const Pool& pool);

/// Returns the requests that a member bears. Precondition: it holds layers.
/// Thread-safe.
[[nodiscard]] std::uint32_t RequestsThatFit(const schema::Engine& engine,
                                            const Member& member);

/// Returns for each layer how many requests its holders bear together.
/// Thread-safe.
[[nodiscard]] std::vector<std::uint32_t> MeasureRoom(
    const schema::Engine& engine, const Pool& pool);

}  // namespace internal
}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_CAPACITY_H_
