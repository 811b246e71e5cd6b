#ifndef FOXQUAY_ROUTING_CHAIN_H_
#define FOXQUAY_ROUTING_CHAIN_H_

#include <cstdint>
#include <string>

#include "foxquay/core/id.h"
#include "foxquay/routing/fwd.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// One stage of a chain: the layers that one upstream runs.
struct Stage {
  core::UpstreamId upstream;
  std::string address;        ///< Network address of the upstream.
  schema::LayerRange layers;  ///< First and last layer, both inclusive.

  friend bool operator==(const Stage&, const Stage&) = default;
};

/// Returns whether the stages run layers 0 to `layers` - 1 exactly once each,
/// in order. False if `layers` is 0.
[[nodiscard]] bool Covers(const Chain& chain, std::uint32_t layers) noexcept;

/// Merges all stages from the first to the last use of an upstream into a
/// single stage of that upstream, so that a chain names each upstream once.
///
/// Precondition: the upstream holds all layers between its first and last use.
void JoinRepeated(Chain& chain);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_CHAIN_H_
