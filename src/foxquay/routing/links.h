#ifndef FOXQUAY_ROUTING_LINKS_H_
#define FOXQUAY_ROUTING_LINKS_H_

#include <chrono>
#include <map>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::routing {

/// Time that one activation takes between two data centres.
struct LinkTable {
  core::Duration same_data_centre = std::chrono::microseconds(100);
  core::Duration other_data_centre = std::chrono::microseconds(700);
  /// Pairs that differ from `other_data_centre`; the order of a pair does not
  /// matter.
  std::map<std::pair<core::DataCentreId, core::DataCentreId>, core::Duration>
      overrides;

  /// Returns the time between two data centres.
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
