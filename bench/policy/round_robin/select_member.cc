#include <cstddef>
#include <cstdint>
#include <map>

#include "foxquay/routing/router.h"

namespace foxquay::routing {

namespace {

/// Round-robin state of a router.
struct Rotation {
  std::size_t position = 0;
  core::Instant at;
  UpstreamIndex last = 0;
  std::uint32_t in_flight = 0;  ///< Of `last` when it was selected.
};

}  // namespace

/// Baseline: selects the members of a class in round-robin order.
///
/// The engine asks more than once for one decision, so the position advances
/// only when time has passed or the member selected last has got work.
Pick Router::SelectMember(const std::vector<UpstreamIndex>& members,
                          const std::vector<core::UpstreamId>& excluded,
                          core::Instant now) {
  static std::map<const Router*, Rotation> rotations;
  if (members.empty()) return {};
  Rotation& rotation = rotations[this];
  // A router of a later run may have the address of an earlier one.
  if (now < rotation.at) rotation = {};
  const bool work_started =
      rotation.last < upstreams_.All().size() &&
      upstreams_[rotation.last].in_flight > rotation.in_flight;
  if (now != rotation.at || work_started) ++rotation.position;
  rotation.at = now;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const UpstreamIndex index =
        members[(rotation.position + i) % members.size()];
    if (!Allowed(index, excluded, now)) continue;
    rotation.last = index;
    rotation.in_flight = upstreams_[index].in_flight;
    return {index, upstreams_[index].LoadedLayerSeconds(now)};
  }
  return {};
}

}  // namespace foxquay::routing
