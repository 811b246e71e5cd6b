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
  core::Duration same = std::chrono::microseconds(100);
  core::Duration other = std::chrono::microseconds(700);
  /// Pairs that differ from `other`; the order of a pair does not matter.
  std::map<std::pair<core::DataCentreId, core::DataCentreId>, core::Duration>
      exceptions;

  /// Returns the time between two data centres.
  [[nodiscard]] core::Duration Between(const core::DataCentreId& a,
                                       const core::DataCentreId& b) const {
    if (a == b) return same;
    auto found = exceptions.find({a, b});
    if (found == exceptions.end()) found = exceptions.find({b, a});
    return found == exceptions.end() ? other : found->second;
  }
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_LINKS_H_
