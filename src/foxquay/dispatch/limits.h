#ifndef FOXQUAY_DISPATCH_LIMITS_H_
#define FOXQUAY_DISPATCH_LIMITS_H_

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/policy.h"
#include "foxquay/routing/upstreams.h"

namespace foxquay::dispatch {

/// Sets which upstreams get work and how much of it at once.
class Limits {
 public:
  /// Applies the policy to all upstreams, after either changed.
  void Configure(const Policy& policy, const std::string& host,
                 routing::Upstreams& upstreams) const;

  /// Returns the share of all limits that is free, 0 to 1.
  [[nodiscard]] static double FreeShare(
      const routing::Upstreams& upstreams) noexcept;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_LIMITS_H_
