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

/// Index of the routes, workspaces and services of one fleet configuration.
///
/// Immutable after construction, hence thread-safe.
class Table {
 public:
  /// Creates an empty table with version 0.
  Table() = default;
  /// Precondition: Validate returns no findings for `fleet`.
  explicit Table(schema::Fleet fleet);

  /// Returns the route of a host name whose path prefix is the longest that
  /// matches `path`, or null if none matches. `host` may include a port and
  /// `path` a query; both are ignored.
  [[nodiscard]] const schema::Route* FindRoute(std::string_view host,
                                               std::string_view path) const;

  /// Returns the workspace to which an API key belongs, or null if the key is
  /// unknown. An empty key belongs to nobody.
  [[nodiscard]] const schema::Workspace* FindWorkspace(
      std::string_view api_key) const;

  /// Returns a service, or null if it is unknown.
  [[nodiscard]] const schema::Service* FindService(
      const core::ServiceId& id) const;

  /// Returns whether requests on routes that are not open need an API key.
  [[nodiscard]] bool NeedsKey() const noexcept {
    return !fleet_.workspaces.empty();
  }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return fleet_.version;
  }
  [[nodiscard]] const schema::Fleet& fleet() const noexcept { return fleet_; }

 private:
  schema::Fleet fleet_;
  /// Indices of the routes of each host name, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
  std::unordered_map<core::ServiceId, std::size_t> service_by_id_;
};

/// Selects a service of a route at random, with probabilities proportional to
/// the weights.
///
/// `draw` is a random number, uniformly distributed in [0, 1). Precondition:
/// the sum of the weights is greater than 0. Thread-safe.
[[nodiscard]] const core::ServiceId& PickService(const schema::Route& route,
                                                 double draw);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_TABLE_H_
