#ifndef FOXQUAY_PLACEMENT_CHAIN_H_
#define FOXQUAY_PLACEMENT_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/range.h"

namespace foxquay::placement {

/// An upstream that may become a stage of a chain, with its estimated cost.
struct Candidate {
  std::size_t upstream = 0;  ///< Index assigned by the caller.
  Range layers;              ///< Layers that the upstream holds.
  core::DataCentreId data_centre;
  core::Duration per_layer{};  ///< Time that the request takes per layer.
  core::Duration fixed{};      ///< Time independent of the number of layers.
};

/// The layers that one upstream runs as part of a chain.
struct Stage {
  std::size_t upstream = 0;  ///< Candidate::upstream of the stage.
  Range layers;

  friend bool operator==(const Stage&, const Stage&) = default;
};

/// A sequence of stages that runs the whole model, and its total cost.
struct Chain {
  std::vector<Stage> stages;  ///< In layer order; each layer is run once.
  core::Duration cost{};
};

/// Returns the cheapest chain that runs each of the layers [0, layers) once and
/// in order; a chain without stages if there is none.
///
/// `crossing_cost` is added for each pair of consecutive stages in different
/// data centres. Computed as a shortest path over the layers; the time grows
/// with the number of candidates times the layers that each holds. Candidates
/// that hold layers beyond `layers` are left out. Thread-safe.
[[nodiscard]] Chain CheapestChain(const std::vector<Candidate>& candidates,
                                  std::uint32_t layers,
                                  core::Duration crossing_cost);

/// Returns the first layer that no candidate holds, or `layers` if all are
/// held. Thread-safe.
[[nodiscard]] std::uint32_t FirstMissingLayer(
    const std::vector<Candidate>& candidates, std::uint32_t layers);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_CHAIN_H_
