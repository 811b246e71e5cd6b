#include "foxquay/fleet/table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxquay::fleet {

Table::Table(schema::Fleet fleet) : fleet_(std::move(fleet)) {
  for (std::size_t index = 0; index < fleet_.routes.size(); ++index) {
    routes_[fleet_.routes[index].host].push_back(index);
  }
  for (auto& [host, indices] : routes_) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t left, std::size_t right) {
                       return fleet_.routes[left].path_prefix.size() >
                              fleet_.routes[right].path_prefix.size();
                     });
  }
  for (std::size_t index = 0; index < fleet_.workspaces.size(); ++index) {
    for (const std::string& key : fleet_.workspaces[index].api_keys) {
      keys_.emplace(key, index);
    }
  }
  for (std::size_t index = 0; index < fleet_.services.size(); ++index) {
    services_.emplace(fleet_.services[index].id, index);
  }
}

const schema::Route* Table::FindRoute(std::string_view host,
                                      std::string_view path) const {
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  const auto found = routes_.find(std::string(host));
  if (found == routes_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    const schema::Route& route = fleet_.routes[index];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) {
      return &route;
    }
  }
  return nullptr;
}

const schema::Workspace* Table::FindWorkspace(std::string_view key) const {
  const auto found = keys_.find(std::string(key));
  return found == keys_.end() ? nullptr : &fleet_.workspaces[found->second];
}

const schema::Service* Table::FindService(const core::ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &fleet_.services[found->second];
}

const core::ServiceId& PickService(const schema::Route& route, double draw) {
  double total = 0;
  for (const schema::WeightedService& weighted : route.services) {
    total += weighted.weight;
  }
  assert(total > 0 && "a route has a service with a weight");
  const schema::WeightedService* last = &route.services.front();
  for (const schema::WeightedService& weighted : route.services) {
    if (weighted.weight <= 0) continue;
    last = &weighted;
    draw -= weighted.weight / total;
    if (draw < 0) break;
  }
  return last->service;
}

}  // namespace foxquay::fleet
