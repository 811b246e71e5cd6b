#ifndef FOXQUAY_ENTRY_DISTANCES_H_
#define FOXQUAY_ENTRY_DISTANCES_H_

#include <map>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/entry/fwd.h"

namespace foxquay::entry {

/// Latencies between data centres, the same in both directions. Concurrent
/// reads are safe.
class Distances {
 public:
  /// Sets the latency between two data centres.
  void Set(const core::DataCentreId& a, const core::DataCentreId& b,
           core::Duration latency);

  /// Returns the latency between two data centres: zero if they are the same,
  /// the largest duration if the latency is not known.
  [[nodiscard]] core::Duration Get(const core::DataCentreId& a,
                                   const core::DataCentreId& b) const;

 private:
  std::map<std::pair<core::DataCentreId, core::DataCentreId>, core::Duration>
      latencies_;
};

}  // namespace foxquay::entry

#endif  // FOXQUAY_ENTRY_DISTANCES_H_
