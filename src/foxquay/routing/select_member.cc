#include <cstddef>
#include <optional>
#include <random>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace internal {

/// A random member replaces the least recently used one only if its predicted
/// time is below this part of the other's. Load reports lag, so small
/// differences mean little.
constexpr double kSwitchRatio = 0.8;
/// Random draws to find a second allowed member.
constexpr int kSecondMemberTries = 4;

}  // namespace internal

Pick Router::MakePick(UpstreamIndex index, core::Instant now) {
  const Upstream& upstream = upstreams_[index];
  const double factor = upstream.failure_record.PenaltyFactor(now);
  // The penalty is ignored with probability 1 / factor, so that traffic returns
  // in proportion. If the penalized times were compared, all of it would return
  // at the moment when the factor falls far enough.
  const bool penalty_ignored =
      factor > 1 &&
      std::uniform_real_distribution<double>()(random_) * factor < 1;
  return {index,
          upstream.LoadedLayerSeconds(now) / (penalty_ignored ? factor : 1),
          penalty_ignored};
}

Pick Router::SelectMember(const std::vector<UpstreamIndex>& members,
                          const std::vector<core::UpstreamId>& excluded,
                          core::Instant now) {
  std::optional<UpstreamIndex> next;
  const std::size_t start = members.empty() ? 0 : random_() % members.size();
  for (std::size_t i = 0; i < members.size(); ++i) {
    const UpstreamIndex index = members[(start + i) % members.size()];
    if (next && upstreams_[index].last_start_number >=
                    upstreams_[*next].last_start_number) {
      continue;
    }
    if (Allowed(index, excluded, now)) next = index;
  }
  if (!next) return {};
  const Pick first = MakePick(*next, now);
  for (int i = 0; i < internal::kSecondMemberTries; ++i) {
    const UpstreamIndex index = members[random_() % members.size()];
    if (index == *next || !Allowed(index, excluded, now)) continue;
    const Pick second = MakePick(index, now);
    return second.layer_seconds < internal::kSwitchRatio * first.layer_seconds
               ? second
               : first;
  }
  return first;
}

}  // namespace foxquay::routing
