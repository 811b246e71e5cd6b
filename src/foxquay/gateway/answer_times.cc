#include "foxquay/gateway/answer_times.h"

#include <cstddef>

namespace foxquay::gateway {
namespace internal {

/// Share of requests that are answered within the estimate. The others are
/// given up at the end of a drain if they have come too late in it.
constexpr double kQuantile = 0.9;

/// Change of the estimate per sample, as a fraction of it: it doubles within
/// about eight requests that take longer, so that it follows an overload.
constexpr double kStep = 0.1;

/// Maximum number of routes with an estimate: several times that of a large
/// fleet. Routes beyond it count as unknown.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace internal

RouteKey MakeRouteKey(const schema::Route& route) {
  return {route.host, route.path_prefix};
}

void AnswerTimes::Record(const RouteKey& route, core::Duration time) {
  if (usual_.size() >= internal::kMaxRoutes && !usual_.contains(route)) return;
  const auto [found, added] = usual_.try_emplace(route, time);
  if (added) return;
  core::Duration& usual = found->second;
  const double change =
      time > usual ? internal::kQuantile : internal::kQuantile - 1;
  usual += core::Scale(usual, internal::kStep * change);
}

std::optional<core::Duration> AnswerTimes::Usual(const RouteKey& route) const {
  const auto found = usual_.find(route);
  if (found == usual_.end()) return std::nullopt;
  return found->second;
}

}  // namespace foxquay::gateway
