#ifndef FOXQUAY_ROUTING_CHAIN_H_
#define FOXQUAY_ROUTING_CHAIN_H_

#include <cstdint>
#include <string>

#include "foxquay/core/id.h"
#include "foxquay/routing/fwd.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// One stage of a chain.
struct Stage {
  core::UpstreamId upstream;
  std::string address;
  schema::LayerRange layers;

  friend bool operator==(const Stage&, const Stage&) = default;
};

/// Returns whether the stages run layers 0 to `layers` - 1 once each, in order.
[[nodiscard]] bool Covers(const Chain& chain, std::uint32_t layers) noexcept;

/// Joins the stages between two uses of one upstream into one stage of it.
///
/// Precondition: the upstream holds all layers between its uses.
void JoinRepeated(Chain& chain);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_CHAIN_H_
