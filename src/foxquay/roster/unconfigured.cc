#include "foxquay/roster/unconfigured.h"

#include <utility>

#include "foxquay/roster/roster.h"

namespace foxquay::roster {

std::vector<schema::Announcement> Unconfigured::SetServices(
    std::set<core::ServiceId> services, core::Instant now) {
  configured_ = true;
  services_ = std::move(services);
  Expire(now);
  std::vector<schema::Announcement> usable;
  std::erase_if(held_, [this, &usable](const auto& item) {
    const schema::Announcement& announcement = item.second.announcement;
    if (Lacks(announcement.service)) return false;
    usable.push_back(announcement);
    return true;
  });
  return usable;
}

bool Unconfigured::Lacks(const core::ServiceId& service) const {
  return configured_ && !service.empty() && !services_.contains(service);
}

bool Unconfigured::Hold(const schema::Announcement& announcement,
                        core::Instant now) {
  Expire(now);
  const auto found = held_.find(announcement.id);
  if (found == held_.end()) {
    if (held_.size() >= kMaxUnconfigured) return false;
    held_.emplace(announcement.id, Held{announcement, now});
    return true;
  }
  Held& held = found->second;
  const bool later = announcement.sequence > held.announcement.sequence;
  if (later) held = {announcement, now};
  return false;
}

bool Unconfigured::Drop(const core::UpstreamId& upstream) {
  return held_.erase(upstream) > 0;
}

void Unconfigured::Expire(core::Instant now) {
  std::erase_if(held_, [now](const auto& item) {
    return now - item.second.heard_at > kAnnouncementTtl;
  });
}

}  // namespace foxquay::roster
