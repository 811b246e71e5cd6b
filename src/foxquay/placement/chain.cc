#include "foxquay/placement/chain.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace foxquay::placement {
namespace internal {

struct Reached {
  std::optional<core::Duration> cost;  ///< Of the best chain that ends here.
  std::size_t previous = 0;            ///< Its own index for a first stage.
  std::uint32_t from = 0;              ///< First layer run here.
};

core::Duration StageCost(const Candidate& candidate, std::uint32_t from) {
  return candidate.fixed + candidate.per_layer * (candidate.layers.end - from);
}

void Extend(const std::vector<Candidate>& candidates,
            std::vector<Reached>& reached, std::size_t index,
            core::Duration crossing) {
  const Candidate& next = candidates[index];
  Reached& best = reached[index];
  if (next.layers.first == 0) best = {StageCost(next, 0), index, 0};
  for (std::size_t before = 0; before < index; ++before) {
    const Candidate& last = candidates[before];
    const bool joins = reached[before].cost &&
                       last.layers.end >= next.layers.first &&
                       last.layers.end < next.layers.end;
    if (!joins) continue;
    core::Duration cost =
        *reached[before].cost + StageCost(next, last.layers.end);
    if (last.data_centre != next.data_centre) cost += crossing;
    if (!best.cost || cost < *best.cost) {
      best = {cost, before, last.layers.end};
    }
  }
}

}  // namespace internal

Chain CheapestChain(std::vector<Candidate> candidates, std::uint32_t layers,
                    core::Duration crossing) {
  std::erase_if(candidates, [](const Candidate& candidate) {
    return candidate.layers.empty();
  });
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.layers.end < right.layers.end;
                   });
  std::vector<internal::Reached> reached(candidates.size());
  std::optional<std::size_t> last;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    internal::Extend(candidates, reached, index, crossing);
    const bool whole = candidates[index].layers.end == layers &&
                       reached[index].cost.has_value();
    if (whole && (!last || *reached[index].cost < *reached[*last].cost)) {
      last = index;
    }
  }
  Chain chain;
  if (!last) return chain;
  chain.cost = *reached[*last].cost;
  for (std::size_t at = *last;; at = reached[at].previous) {
    chain.stages.push_back({candidates[at].upstream,
                            {reached[at].from, candidates[at].layers.end}});
    if (reached[at].previous == at) break;
  }
  std::reverse(chain.stages.begin(), chain.stages.end());
  return chain;
}

std::uint32_t FirstMissingLayer(const std::vector<Candidate>& candidates,
                                std::uint32_t layers) {
  std::uint32_t covered = 0;
  bool grown = true;
  while (grown && covered < layers) {
    grown = false;
    for (const Candidate& candidate : candidates) {
      if (candidate.layers.first <= covered && candidate.layers.end > covered) {
        covered = candidate.layers.end;
        grown = true;
      }
    }
  }
  return std::min(covered, layers);
}

}  // namespace foxquay::placement
