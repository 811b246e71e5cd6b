#ifndef FOXQUAY_RELAY_HOLD_OFFS_H_
#define FOXQUAY_RELAY_HOLD_OFFS_H_

#include <map>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Pauses that upstreams have requested from this host.
///
/// Must be consulted before anything is sent to an upstream, on any connection.
/// A pause is kept by the id of the upstream, so that it outlasts a restart and
/// an absence from the list of upstreams. Not thread-safe; performs no I/O.
class HoldOffs {
 public:
  /// Records a pause until `until`; a shorter one does not replace a longer
  /// one. Returns whether the pause of the upstream became longer.
  bool Record(const core::UpstreamId& upstream, core::Instant until);

  /// Returns whether the pause of an upstream includes `now`.
  [[nodiscard]] bool Active(const core::UpstreamId& upstream,
                            core::Instant now) const;

  /// Forgets pauses that have ended at `now`.
  void Expire(core::Instant now);

 private:
  std::map<core::UpstreamId, core::Instant> until_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_HOLD_OFFS_H_
