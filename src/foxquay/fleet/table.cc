#include "foxquay/fleet/table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxquay::fleet {

Table::Table(schema::Fleet fleet) : fleet_(std::move(fleet)) {
  for (std::size_t index = 0; index < fleet_.routes.size(); ++index) {
    routes_by_host_[fleet_.routes[index].host].push_back(index);
  }
  for (auto& [host, indices] : routes_by_host_) {
    std::stable_sort(indices.begin(), indices.end(),
                     [this](std::size_t left, std::size_t right) {
                       return fleet_.routes[left].path_prefix.size() >
                              fleet_.routes[right].path_prefix.size();
                     });
  }
  for (std::size_t index = 0; index < fleet_.workspaces.size(); ++index) {
    for (const std::string& key : fleet_.workspaces[index].api_keys) {
      // A request without a key has an empty one.
      if (!key.empty()) workspace_by_key_.emplace(key, index);
    }
  }
  for (std::size_t index = 0; index < fleet_.services.size(); ++index) {
    service_by_id_.emplace(fleet_.services[index].id, index);
  }
}

const schema::Route* Table::FindRoute(std::string_view host,
                                      std::string_view path) const {
  host = host.substr(0, host.find(':'));
  path = path.substr(0, path.find('?'));
  const auto found = routes_by_host_.find(std::string(host));
  if (found == routes_by_host_.end()) return nullptr;
  for (const std::size_t index : found->second) {
    const schema::Route& route = fleet_.routes[index];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) {
      return &route;
    }
  }
  return nullptr;
}

const schema::Workspace* Table::FindWorkspace(std::string_view api_key) const {
  const auto found = workspace_by_key_.find(std::string(api_key));
  return found == workspace_by_key_.end() ? nullptr
                                          : &fleet_.workspaces[found->second];
}

const schema::Service* Table::FindService(const core::ServiceId& id) const {
  const auto found = service_by_id_.find(id);
  return found == service_by_id_.end() ? nullptr
                                       : &fleet_.services[found->second];
}

const core::ServiceId& PickService(const schema::Route& route, double draw) {
  double total = 0;
  for (const schema::WeightedService& weighted : route.services) {
    total += weighted.weight;
  }
  assert(total > 0 && "the sum of weights is greater than 0");
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
