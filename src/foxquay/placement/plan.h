#ifndef FOXQUAY_PLACEMENT_PLAN_H_
#define FOXQUAY_PLACEMENT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/placement/range.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::placement {

/// An upstream that serves part of a model, with the layers that it holds or
/// has been ordered to load.
struct ModelUpstream {
  core::UpstreamId id;
  core::DataCentreId data_centre;
  std::string accelerator;
  Range layers;  ///< Empty if the upstream holds no layers.

  friend bool operator==(const ModelUpstream&, const ModelUpstream&) = default;
};

/// The layers that an upstream is to load.
struct Assignment {
  core::UpstreamId id;
  Range layers;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// Returns the accelerator that `engine` lists as `kind`, or null if it lists
/// none. Thread-safe.
[[nodiscard]] const schema::Accelerator* FindAccelerator(
    const schema::Engine& engine, const std::string& kind);

/// Returns how many layers fit in the memory of an accelerator while it keeps
/// memory for requests of `tokens` tokens in total; 0 for an unknown kind of
/// accelerator. Thread-safe.
[[nodiscard]] std::uint32_t LayersThatFit(const schema::Engine& engine,
                                          const std::string& accelerator,
                                          double tokens);

/// Returns how many tokens of requests fit in the memory that `layers` layers
/// leave free; 0 for an unknown kind of accelerator. Precondition: `layers` is
/// above 0. Thread-safe.
[[nodiscard]] double TokensThatFit(const schema::Engine& engine,
                                   const std::string& accelerator,
                                   std::uint32_t layers);

/// Returns the assignments that differ from the current placement.
///
/// Each data centre with enough memory gets a complete copy of the model, or
/// several copies if there is memory for the requests of each. Prompts then
/// need not cross between data centres, and the loss of a data centre leaves
/// the copies in the others complete.
///
/// In a data centre where no layers are placed, all upstreams get the same
/// memory for requests, and upstreams stay empty as spares only as far as they
/// give more after a loss than their memory gives before. Missing layers are
/// divided over the empty upstreams first, then go to the upstreams that hold
/// the adjacent layers. An upstream gives up layers only if the gap cannot be
/// filled otherwise. Further empty upstreams take the layers with the least
/// room for requests. See docs/design/placement-under-loss.md. Thread-safe.
[[nodiscard]] std::vector<Assignment> Plan(
    const schema::Engine& engine, const std::vector<ModelUpstream>& upstreams);

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_PLAN_H_
