#ifndef FOXQUAY_DISPATCH_LIMITS_H_
#define FOXQUAY_DISPATCH_LIMITS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/policy.h"
#include "foxquay/routing/upstreams.h"
#include "foxquay/scheduling/in_flight_limit.h"

namespace foxquay::dispatch {

/// Adaptive in-flight limits of the upstreams.
///
/// Decides which upstreams are enabled and how many legs and calls this host
/// may run on each at once. The results are written to `enabled` and `limit` of
/// the routing::Upstream objects. Not thread-safe.
class Limits {
 public:
  /// Applies a policy to all upstreams. Must be called after the policy or the
  /// list of upstreams has changed. `host` is the id of this host.
  void Configure(const Policy& policy, const std::string& host,
                 routing::Upstreams& upstreams);

  /// Adapts the limits of a leg's stages to its time to first token.
  /// `latency` runs from the start of the leg.
  void ObserveFirstToken(const std::vector<core::UpstreamId>& stages,
                         core::Duration latency, std::uint32_t prompt_bytes,
                         core::Instant now, routing::Upstreams& upstreams);
  /// Adapts the limits of a leg's stages to the time between two of its tokens.
  void ObserveToken(const std::vector<core::UpstreamId>& stages,
                    core::Duration gap, core::Instant now,
                    routing::Upstreams& upstreams);
  /// Reduces the limit of an upstream that failed or refused a leg or call.
  void ObserveFailure(const core::UpstreamId& id, core::Instant now,
                      routing::Upstreams& upstreams);

  /// Returns the unused fraction, 0 to 1, of the limits of all upstreams that
  /// accept work; 0 if there are none.
  [[nodiscard]] static double FreeShare(
      const routing::Upstreams& upstreams) noexcept;

 private:
  std::unordered_map<core::UpstreamId, scheduling::InFlightLimit> limits_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_LIMITS_H_
