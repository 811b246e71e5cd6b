// The graceful shutdown of a host.
#include <algorithm>
#include <utility>
#include <vector>

#include "foxquay/gateway/proxy.h"
#include "foxquay/log/log.h"

namespace foxquay::gateway {
namespace internal {

constexpr std::string_view kShutdownReason = "host is shutting down";

}  // namespace internal

void Proxy::StartDrain(const DrainPlan& plan) {
  drain_ = plan;
  server_.StartDrain();
}

core::Instant Proxy::Deadline(const schema::Route& route,
                              const CallerInfo& caller, core::Instant now) {
  return now + std::min(route.timeout, caller.timeout.value_or(route.timeout));
}

bool Proxy::Takes(const schema::Route& route, const CallerInfo& caller) const {
  if (!drain_) return true;
  const core::Instant now = net::SteadyNow();
  return drain_->Takes({false, Deadline(route, caller, now),
                        answer_times_.Usual(MakeRouteKey(route))},
                       now);
}

void Proxy::RejectForShutdown(net::ExchangeId exchange,
                              const CallerInfo& caller) {
  Reject(exchange, caller, 503, kOtherHostRetryAfter,
         internal::kShutdownReason);
}

void Proxy::ReviewDrain(core::Instant now) {
  if (!drain_) return;
  if (now >= drain_->accept_until()) {
    if (!std::exchange(stopping_, true)) server_.StopAccepting();
    for (const auto& [exchange, pending] : std::exchange(pending_, {})) {
      RejectForShutdown(exchange, pending.caller);
    }
  }
  std::vector<core::RequestId> ending;
  for (const auto& [id, job] : jobs_) {
    const OpenRequest request{relay_.Started(id), relay_.Context(id).deadline,
                              answer_times_.Usual(job.route)};
    if (drain_->Ends(request, now)) ending.push_back(id);
  }
  if (ending.empty()) return;
  log::Write(log::Level::kInfo, "drain_ends_requests",
             {{"count", ending.size()}, {"open", server_.open_requests()}});
  for (const core::RequestId id : ending) {
    Apply(id, relay_.EndForShutdown(id, kOtherHostRetryAfter, now));
  }
}

}  // namespace foxquay::gateway
