#ifndef FOXQUAY_RELAY_HOLD_OFFS_H_
#define FOXQUAY_RELAY_HOLD_OFFS_H_

#include <map>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Pauses for which upstreams have asked this host.
///
/// Whatever this host sends to an upstream, on whatever connection, asks here
/// first. A pause belongs to the upstream: it outlasts its restart under the
/// same id and its absence from the list of upstreams. Not thread-safe;
/// performs no I/O.
class HoldOffs {
 public:
  /// Records that an upstream asks for nothing before `until`; a shorter pause
  /// does not replace a longer one. Returns whether it had not asked for as
  /// long.
  bool Record(const core::UpstreamId& upstream, core::Instant until);

  /// Returns whether an upstream has asked for nothing at `now`.
  [[nodiscard]] bool Active(const core::UpstreamId& upstream,
                            core::Instant now) const;

  /// Forgets pauses that have ended at `now`.
  void Expire(core::Instant now);

 private:
  std::map<core::UpstreamId, core::Instant> until_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_HOLD_OFFS_H_
