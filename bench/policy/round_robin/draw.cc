#include <cstddef>
#include <map>

#include "foxquay/routing/router.h"

namespace foxquay::routing {

/// Baseline: takes the members of a class in turn.
Pick Router::Draw(const std::vector<UpstreamIndex>& members,
                  const std::vector<core::UpstreamId>& excluded,
                  core::Instant now) {
  static std::map<const Router*, std::size_t> turns;
  if (members.empty()) return {};
  const std::size_t turn = turns[this]++;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const UpstreamIndex index = members[(turn + i) % members.size()];
    if (!Allowed(index, excluded, now)) continue;
    return {index, upstreams_[index].LoadedLayerSeconds(now)};
  }
  return {};
}

}  // namespace foxquay::routing
