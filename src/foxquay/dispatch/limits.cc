#include "foxquay/dispatch/limits.h"

#include <algorithm>
#include <chrono>

#include "foxquay/scheduling/service_estimator.h"

namespace foxquay::dispatch {

void Limits::Configure(const Policy& policy, const std::string& host,
                       routing::Upstreams& upstreams) {
  std::erase_if(limits_, [&](const auto& entry) {
    const routing::Upstream* upstream = upstreams.Find(entry.first);
    return upstream == nullptr || !upstream->present;
  });
  for (routing::Upstream& upstream : upstreams.All()) {
    const schema::Announcement& announced = upstream.announced;
    PolicyScope scope;
    scope.model = announced.model.value();
    scope.upstream = announced.id.value();
    scope.data_centre = announced.data_centre.value();
    scope.host = host;
    upstream.enabled =
        policy.Get(schema::PolicyKey::kUpstreamEnabled, scope) != 0;
    if (!upstream.present) continue;
    const auto policy_maximum = static_cast<std::uint32_t>(
        policy.Get(schema::PolicyKey::kUpstreamMaxInFlight, scope));
    const std::uint32_t maximum =
        announced.slots == 0 ? policy_maximum
                             : std::min(policy_maximum, announced.slots);
    scheduling::InFlightLimit& limit =
        limits_.try_emplace(announced.id, maximum).first->second;
    limit.SetMaximum(maximum);
    upstream.limit = limit.limit();
  }
}

void Limits::ObserveFirstToken(const std::vector<core::UpstreamId>& stages,
                               core::Duration latency,
                               std::uint32_t prompt_bytes, core::Instant now,
                               routing::Upstreams& upstreams) {
  const auto per_unit = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(latency) /
      scheduling::PromptUnits(prompt_bytes));
  for (const core::UpstreamId& id : stages) {
    routing::Upstream* upstream = upstreams.Find(id);
    const auto limit = limits_.find(id);
    if (upstream == nullptr || limit == limits_.end()) continue;
    limit->second.ObserveFirstToken(per_unit, upstream->in_flight, now);
    upstream->limit = limit->second.limit();
  }
}

void Limits::ObserveToken(const std::vector<core::UpstreamId>& stages,
                          core::Duration gap, core::Instant now,
                          routing::Upstreams& upstreams) {
  for (const core::UpstreamId& id : stages) {
    routing::Upstream* upstream = upstreams.Find(id);
    const auto limit = limits_.find(id);
    if (upstream == nullptr || limit == limits_.end()) continue;
    limit->second.ObserveToken(gap, upstream->in_flight, now);
    upstream->limit = limit->second.limit();
  }
}

void Limits::ObserveFailure(const core::UpstreamId& id, core::Instant now,
                            routing::Upstreams& upstreams) {
  routing::Upstream* upstream = upstreams.Find(id);
  const auto limit = limits_.find(id);
  if (upstream == nullptr || limit == limits_.end()) return;
  limit->second.ObserveFailure(now);
  upstream->limit = limit->second.limit();
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
