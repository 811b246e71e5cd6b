#ifndef FOXQUAY_ROSTER_DOUBTS_H_
#define FOXQUAY_ROSTER_DOUBTS_H_

#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::roster {

/// Interval at which the same upstream may be doubted anew. A few times within
/// the time for which a doubt makes an upstream suspected, and half of the
/// interval between two probes.
inline constexpr core::Duration kDoubtInterval = std::chrono::milliseconds(450);

/// Upstreams that hosts doubt, each once within an interval.
///
/// Answers the loss of a few upstreams among hundreds of hosts: all hosts doubt
/// them at the same time, and one doubt tells as much as hundreds. Not
/// thread-safe; performs no I/O.
class Doubts {
 public:
  /// Returns those of `upstreams` that have not been returned within the
  /// interval before `now`.
  [[nodiscard]] std::vector<core::UpstreamId> TakeNew(
      const std::vector<core::UpstreamId>& upstreams, core::Instant now);

 private:
  std::map<core::UpstreamId, core::Instant> taken_;
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_DOUBTS_H_
