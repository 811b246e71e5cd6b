#include "foxquay/placement/chain.h"

#include <algorithm>
#include <optional>
#include <utility>

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

/// The cheapest partial chains by the layer and data centre that they end at.
class Frontier {
 public:
  Frontier(std::uint32_t layers, std::size_t centres)
      : layers_(layers),
        by_centre_(centres * (layers + 1)),
        cheapest_(layers + 1) {}

  void Add(std::uint32_t end, std::size_t centre, std::size_t candidate,
           core::Duration cost) {
    const auto improve = [&](std::optional<End>& known) {
      if (!known || cost < known->cost) known = {candidate, centre, cost};
    };
    improve(by_centre_[centre * (layers_ + 1) + end]);
    improve(cheapest_[end]);
  }

  /// Returns the cheapest partial chain that ends at `end`, with its cost if it
  /// is continued in `centre`.
  [[nodiscard]] std::optional<std::pair<std::size_t, core::Duration>> Continue(
      std::uint32_t end, std::size_t centre, core::Duration crossing) const {
    const std::optional<End>& near = by_centre_[centre * (layers_ + 1) + end];
    const std::optional<End>& any = cheapest_[end];
    if (!any) return std::nullopt;
    if (near && near->cost <= any->cost + crossing) {
      return std::make_pair(near->candidate, near->cost);
    }
    return std::make_pair(any->candidate, any->cost + crossing);
  }

 private:
  struct End {
    std::size_t candidate = 0;
    std::size_t centre = 0;
    core::Duration cost{};
  };

  std::uint32_t layers_;
  std::vector<std::optional<End>> by_centre_;
  std::vector<std::optional<End>> cheapest_;
};

/// Numbers the data centres of the candidates.
std::vector<std::size_t> NumberCentres(const std::vector<Candidate>& candidates,
                                       std::size_t& count) {
  std::vector<const core::DataCentreId*> known;
  std::vector<std::size_t> numbers;
  numbers.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    const auto found = std::find_if(
        known.begin(), known.end(),
        [&](const auto* id) { return *id == candidate.data_centre; });
    numbers.push_back(static_cast<std::size_t>(found - known.begin()));
    if (found == known.end()) known.push_back(&candidate.data_centre);
  }
  count = known.size();
  return numbers;
}

}  // namespace internal

Chain CheapestChain(const std::vector<Candidate>& candidates,
                    std::uint32_t layers, core::Duration crossing_cost) {
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Range& held = candidates[index].layers;
    if (!held.empty() && held.end <= layers) order.push_back(index);
  }
  std::stable_sort(
      order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return candidates[left].layers.end < candidates[right].layers.end;
      });
  std::size_t centres = 0;
  const std::vector<std::size_t> centre_of =
      internal::NumberCentres(candidates, centres);
  internal::Frontier frontier(layers, centres);
  std::vector<internal::PartialChain> partial(candidates.size());
  std::optional<std::size_t> last;
  for (const std::size_t index : order) {
    const Candidate& next = candidates[index];
    internal::PartialChain& best = partial[index];
    if (next.layers.first == 0) best = {internal::StageCost(next, 0), index, 0};
    for (std::uint32_t from = std::max(1U, next.layers.first);
         from < next.layers.end; ++from) {
      const auto previous =
          frontier.Continue(from, centre_of[index], crossing_cost);
      if (!previous) continue;
      const core::Duration cost =
          previous->second + internal::StageCost(next, from);
      if (!best.cost || cost < *best.cost) {
        best = {cost, previous->first, from};
      }
    }
    if (!best.cost) continue;
    frontier.Add(next.layers.end, centre_of[index], index, *best.cost);
    const bool complete = next.layers.end == layers;
    if (complete && (!last || *best.cost < *partial[*last].cost)) last = index;
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
