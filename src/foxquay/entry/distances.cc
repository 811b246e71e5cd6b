#include "foxquay/entry/distances.h"

#include <algorithm>

namespace foxquay::entry {

void Distances::Set(const core::DataCentreId& a, const core::DataCentreId& b,
                    core::Duration latency) {
  latencies_[std::minmax(a, b)] = latency;
}

core::Duration Distances::Get(const core::DataCentreId& a,
                              const core::DataCentreId& b) const {
  if (a == b) return core::Duration::zero();
  const auto found = latencies_.find(std::minmax(a, b));
  return found == latencies_.end() ? core::Duration::max() : found->second;
}

}  // namespace foxquay::entry
