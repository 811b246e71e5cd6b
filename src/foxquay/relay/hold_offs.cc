#include "foxquay/relay/hold_offs.h"

namespace foxquay::relay {

bool HoldOffs::Record(const core::UpstreamId& upstream, core::Instant until) {
  const auto [found, inserted] = until_.try_emplace(upstream, until);
  if (inserted) return true;
  if (until <= found->second) return false;
  found->second = until;
  return true;
}

bool HoldOffs::Active(const core::UpstreamId& upstream,
                      core::Instant now) const {
  const auto found = until_.find(upstream);
  return found != until_.end() && now < found->second;
}

void HoldOffs::Expire(core::Instant now) {
  std::erase_if(until_, [now](const auto& item) { return item.second <= now; });
}

}  // namespace foxquay::relay
