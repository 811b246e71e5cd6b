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

/// Sets which upstreams get work and how much of it at once.
class Limits {
 public:
  /// Applies the policy to all upstreams, after either changed.
  void Configure(const Policy& policy, const std::string& host,
                 routing::Upstreams& upstreams);

  /// Learns the time to first token of a leg and adapts its stages' limits.
  void ObserveFirstToken(const std::vector<core::UpstreamId>& stages,
                         core::Duration latency, std::uint32_t prompt_bytes,
                         core::Instant now, routing::Upstreams& upstreams);
  /// Learns the time between two tokens of a leg and adapts its stages' limits.
  void ObserveToken(const std::vector<core::UpstreamId>& stages,
                    core::Duration gap, core::Instant now,
                    routing::Upstreams& upstreams);
  /// Learns that an upstream failed or refused a leg or call.
  void ObserveFailure(const core::UpstreamId& id, core::Instant now,
                      routing::Upstreams& upstreams);

  /// Returns the share of all limits that is free, 0 to 1.
  [[nodiscard]] static double FreeShare(
      const routing::Upstreams& upstreams) noexcept;

 private:
  std::unordered_map<core::UpstreamId, scheduling::InFlightLimit> limits_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_LIMITS_H_
