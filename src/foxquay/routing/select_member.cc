#include <cstddef>
#include <optional>
#include <random>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace internal {

/// Part of the predicted time that a random member must not exceed to take the
/// place of the member whose turn it is. Load reports lag, so small differences
/// mean little.
constexpr double kSwitchRatio = 0.8;
/// Random tries to find a second member.
constexpr int kSecondMemberTries = 4;

}  // namespace internal

Pick Router::MakePick(UpstreamIndex index, core::Instant now) {
  const Upstream& upstream = upstreams_[index];
  const double factor = upstream.failure_record.PenaltyFactor(now);
  // Ignoring the factor with probability 1 / factor lets traffic return in
  // proportion; a plain comparison would return it all at once.
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
