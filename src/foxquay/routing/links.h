#ifndef FOXQUAY_ROUTING_LINKS_H_
#define FOXQUAY_ROUTING_LINKS_H_

#include <chrono>
#include <map>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Network time of passing one activation to the next stage, for each pair of
/// data centres.
struct LinkTable {
  /// Between upstreams of the same data centre.
  core::Duration same_data_centre = std::chrono::microseconds(100);
  /// Between different data centres that have no entry in `overrides`.
  core::Duration other_data_centre = std::chrono::microseconds(700);
  /// Pairs of data centres with a time of their own, stored in either order.
  std::map<std::pair<core::DataCentreId, core::DataCentreId>, core::Duration>
      overrides;

  /// Returns the time between two data centres, the same in both directions.
  [[nodiscard]] core::Duration Between(const core::DataCentreId& a,
                                       const core::DataCentreId& b) const {
    if (a == b) return same_data_centre;
    auto found = overrides.find({a, b});
    if (found == overrides.end()) found = overrides.find({b, a});
    return found == overrides.end() ? other_data_centre : found->second;
  }
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_LINKS_H_
