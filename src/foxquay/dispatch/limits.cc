#include "foxquay/dispatch/limits.h"

#include <algorithm>
#include <cstdint>

namespace foxquay::dispatch {

void Limits::Configure(const Policy& policy, const std::string& host,
                       routing::Upstreams& upstreams) const {
  for (routing::Upstream& upstream : upstreams.All()) {
    const schema::Announcement& announced = upstream.announced;
    PolicyScope scope;
    scope.model = announced.model.value();
    scope.upstream = announced.id.value();
    scope.data_centre = announced.data_centre.value();
    scope.host = host;
    upstream.enabled =
        policy.Get(schema::PolicyKey::kUpstreamEnabled, scope) != 0;
    const auto limit = static_cast<std::uint32_t>(
        policy.Get(schema::PolicyKey::kUpstreamMaxInFlight, scope));
    upstream.limit =
        announced.slots == 0 ? limit : std::min(limit, announced.slots);
  }
}

double Limits::FreeShare(const routing::Upstreams& upstreams) noexcept {
  double limit = 0;
  double used = 0;
  for (const routing::Upstream& upstream : upstreams.All()) {
    if (!upstream.Open()) continue;
    limit += upstream.limit;
    used += std::min(upstream.in_flight, upstream.limit);
  }
  return limit == 0 ? 0 : (limit - used) / limit;
}

}  // namespace foxquay::dispatch
