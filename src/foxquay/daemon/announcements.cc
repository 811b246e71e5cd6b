#include "foxquay/daemon/announcements.h"

#include <chrono>
#include <utility>

namespace foxquay::daemon {
namespace internal {

/// Time without an announcement after which an upstream is removed.
constexpr std::chrono::milliseconds kUpstreamExpiry{1800};

}  // namespace internal

bool Announcements::Put(schema::Announcement announcement, core::Instant now) {
  const core::UpstreamId id = announcement.id;
  const auto found = known_.find(id);
  if (found == known_.end()) {
    const bool active = !announcement.leaving;
    known_[id] = {std::move(announcement), now};
    return active;
  }
  KnownUpstream& known = found->second;
  if (announcement.sequence <= known.announcement.sequence) return false;
  known.announcement.sequence = announcement.sequence;
  known.received = now;
  if (known.announcement == announcement) return false;
  known.announcement = std::move(announcement);
  return true;
}

bool Announcements::Remove(const core::UpstreamId& id) {
  const auto found = known_.find(id);
  if (found == known_.end() || found->second.announcement.leaving) return false;
  // The entry stays until it expires, so that a delayed announcement with a
  // lower sequence does not bring the upstream back.
  found->second.announcement.leaving = true;
  return true;
}

bool Announcements::Expire(core::Instant now) {
  bool changed = false;
  for (auto entry = known_.begin(); entry != known_.end();) {
    if (now - entry->second.received < internal::kUpstreamExpiry) {
      ++entry;
      continue;
    }
    changed = changed || !entry->second.announcement.leaving;
    entry = known_.erase(entry);
  }
  return changed;
}

std::vector<schema::Announcement> Announcements::Active() const {
  std::vector<schema::Announcement> active;
  for (const auto& [id, known] : known_) {
    if (!known.announcement.leaving) active.push_back(known.announcement);
  }
  return active;
}

}  // namespace foxquay::daemon
