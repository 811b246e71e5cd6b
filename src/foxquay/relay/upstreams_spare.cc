// Upstreams for requests that are not needed, such as second sends.
#include <algorithm>
#include <utility>

#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {

bool Upstreams::AcceptsSpare(const Entry& entry, core::Instant now) const {
  return Usable(entry, now) && !Limited(entry) &&
         now >= entry.deprioritized_until;
}

ServiceRoom Upstreams::Room(const core::ServiceId& service,
                            core::Instant now) const {
  ServiceRoom room;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service) continue;
    ++room.upstreams;
    if (!AcceptsSpare(entry, now)) continue;
    ++room.accepting;
    room.slots += std::max<std::size_t>(1, entry.announcement.slots);
  }
  return room;
}

std::vector<Hop> Upstreams::ChooseSpare(const core::ServiceId& service,
                                        const FirstHops& first,
                                        core::Duration max_latency,
                                        core::Instant now) const {
  const Entry* best = nullptr;
  std::pair<core::Duration, std::uint64_t> least;
  for (const auto& [id, entry] : entries_) {
    if (entry.announcement.service != service || !first.Allows(id)) continue;
    if (!AcceptsSpare(entry, now)) continue;
    const std::size_t slots =
        std::max<std::size_t>(1, entry.announcement.slots);
    const core::Duration latency = entry.latency.RecentLatency(now);
    if (entry.in_flight >= slots || latency >= max_latency) continue;
    const auto cost =
        std::make_pair(latency * static_cast<std::int64_t>(1 + entry.in_flight),
                       entry.last_used);
    if (best == nullptr || cost < least) {
      best = &entry;
      least = cost;
    }
  }
  if (best == nullptr) return {};
  return {{best->announcement.id, best->announcement.address, {}}};
}

void Upstreams::RecordMinLatency(const core::UpstreamId& upstream,
                                 core::Duration time, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found != entries_.end()) found->second.latency.RecordAtLeast(time, now);
}

}  // namespace foxquay::relay
