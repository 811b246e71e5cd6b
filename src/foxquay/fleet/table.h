#ifndef FOXQUAY_FLEET_TABLE_H_
#define FOXQUAY_FLEET_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// Looks up routes, workspaces and services of one configuration.
///
/// Immutable after construction, hence thread-safe.
class Table {
 public:
  /// Holds no configuration; version() is 0.
  Table() = default;
  /// Precondition: Validate finds no fault.
  explicit Table(schema::Fleet fleet);

  /// Returns the route with the longest prefix of `path` among those of `host`,
  /// or null. A port behind the host name is ignored; `path` may have a query.
  [[nodiscard]] const schema::Route* FindRoute(std::string_view host,
                                               std::string_view path) const;

  /// Returns the workspace that holds a key, or null.
  [[nodiscard]] const schema::Workspace* FindWorkspace(
      std::string_view api_key) const;

  /// Returns a service, or null.
  [[nodiscard]] const schema::Service* FindService(
      const core::ServiceId& id) const;

  /// Returns whether requests on routes that are not open need a key.
  [[nodiscard]] bool NeedsKey() const noexcept {
    return !fleet_.workspaces.empty();
  }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return fleet_.version;
  }
  [[nodiscard]] const schema::Fleet& fleet() const noexcept { return fleet_; }

 private:
  schema::Fleet fleet_;
  /// Routes of a host by index, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
  std::unordered_map<core::ServiceId, std::size_t> service_by_id_;
};

/// Returns the service that gets a request, by the weights of its route.
///
/// `draw` is uniform in [0, 1). Precondition: the weights add up to more than
/// 0. Thread-safe.
[[nodiscard]] const core::ServiceId& PickService(const schema::Route& route,
                                                 double draw);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_TABLE_H_
