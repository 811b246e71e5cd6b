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

/// Longest fencing grant.
inline constexpr core::Duration kMaxGrantLength = std::chrono::minutes(10);
/// Most upstreams with a fencing epoch; matches the schema's bound.
inline constexpr std::size_t kMaxGrants = 100'000;

/// Newest fencing grant of each upstream.
///
/// Not thread-safe.
class GrantTable {
 public:
  /// Grants the next epoch unless another live holder's grant is unexpired.
  ///
  /// `time` is the entry's wall time; `requester_live` and `holder_live` say
  /// whether the incarnations of the requester and of the current holder have
  /// not ended. Wall time only decides whether a grant is given away early;
  /// safety rests on OrderGate, which measures on one host's clock.
  schema::FencingResult Apply(const schema::GrantFencing& request,
                              core::WallTime time, bool requester_live,
                              bool holder_live);

  /// Returns the newest grant of an upstream, or null.
  [[nodiscard]] const schema::StoredGrant* Find(
      const core::UpstreamId& upstream) const;

  [[nodiscard]] std::vector<schema::StoredGrant> Save() const;
  void Restore(schema::StoredGrant grant);

 private:
  std::map<core::UpstreamId, schema::StoredGrant> grants_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_GRANTS_H_
