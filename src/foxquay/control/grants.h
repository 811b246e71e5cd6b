#ifndef FOXQUAY_CONTROL_GRANTS_H_
#define FOXQUAY_CONTROL_GRANTS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Maximum length of a fencing grant.
inline constexpr core::Duration kMaxGrantLength = std::chrono::minutes(10);
/// Maximum number of upstreams with a fencing epoch; equals the bound of the
/// schema.
inline constexpr std::size_t kMaxGrants = 100'000;

/// Latest fencing grant of each upstream.
///
/// A grant gives one incarnation of a host the next fencing epoch of an
/// upstream and the right to send it orders for a limited time.
/// Not thread-safe.
class GrantTable {
 public:
  /// Grants the next epoch unless another live holder has an unexpired grant.
  ///
  /// `time` is the wall time of the log entry. `requester_live` and
  /// `holder_live` state whether the incarnations of the requester and of the
  /// current holder are live. Wall time only decides when a grant passes to
  /// another holder; that two holders never send at the same time is ensured by
  /// OrderGate, which uses the monotonic clock of one host.
  schema::FencingResult Apply(const schema::GrantFencing& request,
                              core::WallTime time, bool requester_live,
                              bool holder_live);

  /// Returns the latest grant of an upstream, or null if there is none.
  [[nodiscard]] const schema::StoredGrant* Find(
      const core::UpstreamId& upstream) const;

  /// Returns all grants for a snapshot, ordered by upstream.
  [[nodiscard]] std::vector<schema::StoredGrant> Save() const;
  /// Adds a grant from a snapshot.
  void Restore(schema::StoredGrant grant);

 private:
  std::map<core::UpstreamId, schema::StoredGrant> grants_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_GRANTS_H_
