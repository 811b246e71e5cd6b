#include "foxquay/daemon/control_hosts.h"

#include <algorithm>

namespace foxquay::daemon {

Hosts::Hosts(const schema::Settings& settings) : self_(settings.host.id) {
  const auto add = [this](HostView view) {
    order_.push_back(view.id);
    entries_[view.id].view = std::move(view);
  };
  const auto& roles = settings.host.roles;
  HostView own;
  own.id = self_;
  own.caller = settings.listeners.caller;
  own.data_centre = settings.host.data_centre;
  own.region = settings.host.region;
  own.control = std::find(roles.begin(), roles.end(), schema::Role::kControl) !=
                roles.end();
  add(std::move(own));
  for (const schema::PeerSettings& peer : settings.peers) {
    HostView view;
    view.id = peer.id;
    view.caller = peer.caller;
    view.data_centre = peer.data_centre;
    view.region = peer.region;
    view.control = peer.control;
    add(std::move(view));
  }
}

void Hosts::HandleReport(const core::HostId& host, std::uint64_t incarnation,
                         const schema::HostReport& report, core::Instant now) {
  const auto found = entries_.find(host);
  if (found == entries_.end() || host == self_) return;
  Entry& entry = found->second;
  if (incarnation < entry.view.incarnation) return;
  entry.view.incarnation = incarnation;
  entry.view.report = report;
  entry.heard = now;
  entry.reported = true;
}

void Hosts::SetOwn(std::uint64_t incarnation,
                   const schema::HostReport& report) {
  HostView& own = entries_[self_].view;
  own.incarnation = incarnation;
  own.report = report;
}

std::vector<HostView> Hosts::View(core::Instant now) const {
  std::vector<HostView> views;
  for (const core::HostId& id : order_) {
    const Entry& entry = entries_.at(id);
    HostView view = entry.view;
    view.alive =
        id == self_ || (entry.reported && now - entry.heard <= kHostSilence);
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<entry::Host> EntryHosts(const std::vector<HostView>& hosts) {
  std::vector<entry::Host> converted;
  for (const HostView& host : hosts) {
    converted.push_back({host.id, host.caller, host.data_centre, host.alive,
                         host.report.draining, host.report.admitting,
                         host.report.free_percent / 100.0});
  }
  return converted;
}

entry::Distances DistancesOf(const schema::Settings& settings) {
  constexpr core::Duration kWithinRegion = std::chrono::milliseconds(1);
  constexpr core::Duration kBetweenRegions = std::chrono::milliseconds(100);
  entry::Distances distances;
  const std::vector<HostView> hosts = Hosts(settings).View({});
  for (const HostView& left : hosts) {
    for (const HostView& right : hosts) {
      if (left.data_centre == right.data_centre) continue;
      const bool near = left.region == right.region;
      distances.Set(left.data_centre, right.data_centre,
                    near ? kWithinRegion : kBetweenRegions);
    }
  }
  return distances;
}

}  // namespace foxquay::daemon
