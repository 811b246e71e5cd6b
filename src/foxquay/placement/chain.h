#ifndef FOXQUAY_PLACEMENT_CHAIN_H_
#define FOXQUAY_PLACEMENT_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/placement/range.h"

namespace foxquay::placement {

/// An upstream that may be a stage of a chain, with what it would cost.
struct Candidate {
  std::size_t upstream = 0;  ///< Index that the caller chose.
  Range layers;              ///< Layers that it holds.
  core::DataCentreId data_centre;
  core::Duration per_layer{};  ///< Time of the request in one layer.
  core::Duration fixed{};      ///< Time that does not depend on the layers.
};

/// Layers of one upstream as a part of a chain.
struct Stage {
  std::size_t upstream = 0;
  Range layers;

  friend bool operator==(const Stage&, const Stage&) = default;
};

/// A chain and the sum of its costs.
struct Chain {
  std::vector<Stage> stages;  ///< In order; cover all layers once.
  core::Duration cost{};
};

/// Returns the cheapest chain that covers layers [0, layers) once and in order,
/// without stages if there is none.
///
/// `crossing_cost` is the cost of going to another data centre. A shortest path
/// over the candidates in order of their last layer: quadratic in their number.
/// Thread-safe.
[[nodiscard]] Chain CheapestChain(std::vector<Candidate> candidates,
                                  std::uint32_t layers,
                                  core::Duration crossing_cost);

/// Returns the first layer that no candidate holds, or `layers` if all are
/// held. Thread-safe.
[[nodiscard]] std::uint32_t FirstMissingLayer(
    const std::vector<Candidate>& candidates, std::uint32_t layers);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_CHAIN_H_
