#include "foxquay/roster/doubts.h"

namespace foxquay::roster {

std::vector<core::UpstreamId> Doubts::TakeNew(
    const std::vector<core::UpstreamId>& upstreams, core::Instant now) {
  std::erase_if(taken_, [now](const auto& item) {
    return now - item.second >= kDoubtInterval;
  });
  std::vector<core::UpstreamId> fresh;
  for (const core::UpstreamId& upstream : upstreams) {
    if (taken_.try_emplace(upstream, now).second) fresh.push_back(upstream);
  }
  return fresh;
}

}  // namespace foxquay::roster
