#include "foxquay/daemon/control_hosts.h"

#include <algorithm>

namespace foxquay::daemon {
namespace internal {

/// Sets the addresses, location and role of a host; its report is kept.
void SetAddress(HostView& view, const schema::HostAddress& address) {
  view.id = address.id;
  view.peer = address.peer;
  view.caller = address.caller;
  view.data_centre = address.data_centre;
  view.region = address.region;
  view.control = address.control;
  view.partner = address.partner;
}

}  // namespace internal

Hosts::Hosts(const schema::Settings& settings) : self_(settings.host.id) {
  const auto& roles = settings.host.roles;
  HostView own;
  own.id = self_;
  own.peer = settings.listeners.peer;
  const bool entry = std::find(roles.begin(), roles.end(),
                               schema::Role::kEntry) != roles.end();
  if (entry) own.caller = settings.listeners.caller;
  if (entry) own.partner = settings.listeners.partner;
  own.data_centre = settings.host.data_centre;
  own.region = settings.host.region;
  own.control = std::find(roles.begin(), roles.end(), schema::Role::kControl) !=
                roles.end();
  order_.push_back(self_);
  entries_[self_] = {std::move(own), {}, false, true};
  for (const schema::PeerSettings& peer : settings.peers) AddConfigured(peer);
}

bool Hosts::AddConfigured(const schema::PeerSettings& peer) {
  const auto [found, inserted] = entries_.try_emplace(peer.id);
  Entry& entry = found->second;
  entry.configured = true;
  if (!inserted) return false;
  order_.push_back(peer.id);
  internal::SetAddress(entry.view,
                       {peer.id, 0, peer.address, peer.caller, peer.data_centre,
                        peer.region, peer.control, ""});
  return true;
}

void Hosts::HandleReport(const core::HostId& host, std::uint64_t incarnation,
                         const schema::HostReport& report, core::Instant now) {
  const auto found = entries_.find(host);
  if (found == entries_.end() || host == self_) return;
  Entry& entry = found->second;
  if (incarnation < entry.view.incarnation) return;
  entry.view.incarnation = incarnation;
  entry.view.report = report;
  entry.last_heard = now;
  entry.reported = true;
}

void Hosts::SetOwnReport(std::uint64_t incarnation,
                         const schema::HostReport& report) {
  HostView& own = entries_[self_].view;
  own.incarnation = incarnation;
  own.report = report;
}

bool Hosts::IsAlive(const core::HostId& id, const Entry& entry,
                    core::Instant now) const {
  if (id == self_) return true;
  if (entry.followed) return !entry.silent;
  return entry.reported && now - entry.last_heard <= kHostSilence;
}

bool Hosts::Follow(const schema::HostState& state, core::Instant now) {
  const core::HostId& id = state.address.id;
  if (id == self_) return false;
  if (state.silent && !entries_.contains(id)) return false;
  const auto [found, inserted] = entries_.try_emplace(id, Entry{});
  Entry& entry = found->second;
  if (inserted) order_.push_back(id);
  entry.followed = true;
  entry.silent = state.silent;
  if (!state.silent) entry.last_heard = now;
  bool moved = inserted;
  if (entry.address_incarnation != state.address.incarnation) {
    moved = moved || entry.view.peer != state.address.peer;
    entry.address_incarnation = state.address.incarnation;
    internal::SetAddress(entry.view, state.address);
    entry.view.incarnation = state.address.incarnation;
  }
  entry.view.report.draining = state.draining;
  entry.view.report.admitting = state.admitting;
  entry.view.report.cut_off = state.cut_off;
  entry.view.report.free_percent = 100;
  return moved;
}

bool Hosts::HandleAddress(const schema::HostAddress& address,
                          core::Instant now) {
  if (address.id == self_) return false;
  const auto [found, inserted] = entries_.try_emplace(address.id, Entry{});
  Entry& entry = found->second;
  if (inserted) {
    order_.push_back(address.id);
    entry.last_heard = now;
  } else if (address.incarnation <= entry.address_incarnation) {
    return false;
  }
  const bool moved = inserted || entry.view.peer != address.peer;
  entry.address_incarnation = address.incarnation;
  internal::SetAddress(entry.view, address);
  return moved;
}

schema::HostList Hosts::ListAlive(bool control_only, core::Instant now) const {
  schema::HostList list;
  for (const core::HostId& id : order_) {
    const Entry& entry = entries_.at(id);
    if (!IsAlive(id, entry, now)) continue;
    const HostView& view = entry.view;
    if (control_only && !view.control) continue;
    list.hosts.push_back({id, view.incarnation, view.peer, view.caller,
                          view.data_centre, view.region, view.control,
                          view.partner});
  }
  return list;
}

std::vector<core::HostId> Hosts::RemoveSilent(core::Instant now) {
  std::vector<core::HostId> removed;
  for (const auto& [id, entry] : entries_) {
    const bool silent = now - entry.last_heard > kRemovalSilence;
    if (!entry.configured && silent) removed.push_back(id);
  }
  for (const core::HostId& id : removed) {
    entries_.erase(id);
    std::erase(order_, id);
  }
  return removed;
}

bool Hosts::IsControl(const core::HostId& host) const {
  const auto found = entries_.find(host);
  return found != entries_.end() && found->second.view.control;
}

std::vector<HostView> Hosts::Views(core::Instant now) const {
  std::vector<HostView> views;
  for (const core::HostId& id : order_) {
    const Entry& entry = entries_.at(id);
    HostView view = entry.view;
    view.alive = IsAlive(id, entry, now);
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<entry::Host> ToEntryHosts(const std::vector<HostView>& hosts) {
  std::vector<entry::Host> converted;
  converted.reserve(hosts.size());
  for (const HostView& host : hosts) {
    if (host.caller.empty()) continue;
    converted.push_back({host.id, host.caller, host.data_centre, host.alive,
                         host.report.draining, host.report.admitting,
                         host.report.cut_off,
                         host.report.free_percent / 100.0});
  }
  return converted;
}

entry::Distances NominalDistances(const std::vector<HostView>& hosts) {
  constexpr core::Duration kWithinRegion = std::chrono::milliseconds(1);
  constexpr core::Duration kBetweenRegions = std::chrono::milliseconds(100);
  std::map<core::DataCentreId, core::RegionId> centres;
  for (const HostView& host : hosts) centres[host.data_centre] = host.region;
  entry::Distances distances;
  for (const auto& [left, left_region] : centres) {
    for (const auto& [right, right_region] : centres) {
      if (left == right) continue;
      distances.Set(
          left, right,
          left_region == right_region ? kWithinRegion : kBetweenRegions);
    }
  }
  return distances;
}

}  // namespace foxquay::daemon
