#include "foxquay/placement/chain.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace foxquay::placement {
namespace internal {

/// The cheapest chain found so far that ends with a given candidate.
struct PartialChain {
  std::optional<core::Duration> cost;  ///< Not set if no chain ends here.
  std::size_t previous = 0;  ///< Index of the stage before; own index if first.
  std::uint32_t from = 0;    ///< First layer that this candidate runs.
};

/// Returns the cost of running a candidate from layer `from` to its last layer.
core::Duration StageCost(const Candidate& candidate, std::uint32_t from) {
  return candidate.fixed + candidate.per_layer * (candidate.layers.end - from);
}

/// Computes the cheapest chain that ends with candidate `index`, from the
/// chains that end with the candidates before it.
void ExtendTo(const std::vector<Candidate>& candidates,
              std::vector<PartialChain>& partial, std::size_t index,
              core::Duration crossing_cost) {
  const Candidate& next = candidates[index];
  PartialChain& best = partial[index];
  if (next.layers.first == 0) best = {StageCost(next, 0), index, 0};
  for (std::size_t previous = 0; previous < index; ++previous) {
    const Candidate& last = candidates[previous];
    const bool joins = partial[previous].cost &&
                       last.layers.end >= next.layers.first &&
                       last.layers.end < next.layers.end;
    if (!joins) continue;
    core::Duration cost =
        *partial[previous].cost + StageCost(next, last.layers.end);
    if (last.data_centre != next.data_centre) cost += crossing_cost;
    if (!best.cost || cost < *best.cost) {
      best = {cost, previous, last.layers.end};
    }
  }
}

}  // namespace internal

Chain CheapestChain(std::vector<Candidate> candidates, std::uint32_t layers,
                    core::Duration crossing_cost) {
  std::erase_if(candidates, [](const Candidate& candidate) {
    return candidate.layers.empty();
  });
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.layers.end < right.layers.end;
                   });
  std::vector<internal::PartialChain> partial(candidates.size());
  std::optional<std::size_t> last;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    internal::ExtendTo(candidates, partial, index, crossing_cost);
    const bool complete = candidates[index].layers.end == layers &&
                          partial[index].cost.has_value();
    if (complete && (!last || *partial[index].cost < *partial[*last].cost)) {
      last = index;
    }
  }
  Chain chain;
  if (!last) return chain;
  chain.cost = *partial[*last].cost;
  for (std::size_t index = *last;; index = partial[index].previous) {
    chain.stages.push_back(
        {candidates[index].upstream,
         {partial[index].from, candidates[index].layers.end}});
    if (partial[index].previous == index) break;
  }
  std::reverse(chain.stages.begin(), chain.stages.end());
  return chain;
}

std::uint32_t FirstMissingLayer(const std::vector<Candidate>& candidates,
                                std::uint32_t layers) {
  std::uint32_t covered = 0;
  bool extended = true;
  while (extended && covered < layers) {
    extended = false;
    for (const Candidate& candidate : candidates) {
      if (candidate.layers.first <= covered && candidate.layers.end > covered) {
        covered = candidate.layers.end;
        extended = true;
      }
    }
  }
  return std::min(covered, layers);
}

}  // namespace foxquay::placement
