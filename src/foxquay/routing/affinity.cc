#include <algorithm>
#include <cstddef>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace internal {

/// Factor on the predicted time of an upstream that probably has a prefix of
/// the prompt cached, so that the planner prefers it.
constexpr double kHolderTimeFactor = 0.5;
/// Largest number of streams on an upstream chosen for its cache, relative to
/// the mean of the chain planned without regard to caches.
constexpr double kLoadBound = 1.25;

}  // namespace internal

bool Router::PickPrefixHolders(const Group& group, const Query& query,
                               core::Instant now) {
  bool any = false;
  std::vector<bool> chosen(group.classes.size(), false);
  for (const UpstreamIndex holder : prefix_index_.Find(query.prefixes)) {
    const auto found = group.class_of.find(holder);
    if (found == group.class_of.end() || chosen[found->second]) continue;
    if (!Allowed(holder, query.excluded, now)) continue;
    picks_[found->second] = {holder,
                             upstreams_[holder].LoadedLayerSeconds(now) *
                                 internal::kHolderTimeFactor};
    chosen[found->second] = true;
    any = true;
  }
  return any;
}

bool Router::WithinLoadBound(const std::vector<Step>& steps,
                             const std::vector<Step>& best) const {
  double sum = 0;
  for (const Step& step : best) sum += upstreams_[step.upstream].in_flight + 1;
  const double bound =
      internal::kLoadBound * sum / static_cast<double>(best.size());
  return std::all_of(steps.begin(), steps.end(), [&](const Step& step) {
    return upstreams_[step.upstream].in_flight + 1 <= bound;
  });
}

void Router::RecordPrefixes(const std::vector<std::uint64_t>& prefixes,
                            const Chain& chain) {
  if (prefixes.empty()) return;
  std::vector<UpstreamIndex> used;
  for (const Stage& stage : chain) {
    const auto index = upstreams_.IndexOf(stage.upstream);
    if (index) used.push_back(*index);
  }
  prefix_index_.Add(prefixes, used);
}

}  // namespace foxquay::routing
