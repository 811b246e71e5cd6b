#ifndef FOXQUAY_PLACEMENT_PLAN_H_
#define FOXQUAY_PLACEMENT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/placement/range.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// A model upstream and the layers that it holds or was ordered to hold.
struct ModelUpstream {
  core::UpstreamId id;
  core::DataCentreId data_centre;
  std::string accelerator;
  Range layers;  ///< Empty if it holds none.
};

/// Layers that an upstream is to hold.
struct Assignment {
  core::UpstreamId id;
  Range layers;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// Returns a kind of accelerator; null if the engine does not know it.
/// Thread-safe.
[[nodiscard]] const schema::Accelerator* FindAccelerator(
    const schema::Engine& engine, const std::string& kind);

/// Returns the layers that an accelerator can hold while it keeps memory for
/// the requests of `tokens` tokens; 0 for an unknown kind. Thread-safe.
[[nodiscard]] std::uint32_t LayersThatFit(const schema::Engine& engine,
                                          const std::string& accelerator,
                                          double tokens);

/// Returns the tokens of requests that fit beside `layers` layers.
/// Precondition: `layers` is above 0. Thread-safe.
[[nodiscard]] double TokensThatFit(const schema::Engine& engine,
                                   const std::string& accelerator,
                                   std::uint32_t layers);

/// Returns the changes that give each data centre that can hold one a whole
/// copy of the model, or several where there is memory for the requests of
/// each, so that prompts need not cross between data centres and
/// the loss of one leaves the others whole.
///
/// A data centre where nothing is held is laid out with equal memory for
/// requests, and a few upstreams stay empty. Where layers are missing, these
/// take them up, then the holders beside the gap; no holder gives layers up.
/// Thread-safe.
[[nodiscard]] std::vector<Assignment> Plan(
    const schema::Engine& engine, std::vector<ModelUpstream> upstreams);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_PLAN_H_
