#include "foxquay/placement/plan.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace foxquay::placement {
namespace internal {

/// Upper bound of the search in CommonTokenCapacity, in tokens.
constexpr double kMaxTokens = 1e7;

/// Fraction of the common token capacity below which the layers of an upstream
/// are replicated on a spare upstream.
constexpr double kReplicationThreshold = 0.5;

/// Fractions of the common token capacity that upstreams keep when missing
/// layers are placed, tried in this order. With 0 a chain still serves one
/// request at a time.
constexpr std::array<double, 4> kMemoryFractions = {0.6, 0.3, 0.1, 0.0};

/// Maximum number of spare upstreams per copy of the model in a data centre.
/// One disruption takes out two of a dozen upstreams at once; the next failure
/// can wait until these are back.
constexpr std::size_t kMaxSparesPerCopy = 3;

/// Fraction of the common token capacity that must remain when upstreams are
/// set aside as spares.
constexpr double kMemoryFractionWithSpares = 0.6;

/// Bisection steps of the search in CommonTokenCapacity.
constexpr int kSearchSteps = 40;

/// Upstreams over which complete copies of the model are placed.
using Group = std::vector<ModelUpstream*>;

/// Returns how many layers fit in the group while each upstream keeps memory
/// for `tokens` tokens of requests.
std::uint32_t LayerCapacity(const schema::Engine& engine, const Group& group,
                            double tokens) {
  std::uint32_t total = 0;
  for (const ModelUpstream* upstream : group) {
    total += LayersThatFit(engine, upstream->accelerator, tokens);
  }
  return total;
}

/// Returns the common token capacity of the group: the most tokens of requests
/// for which every upstream can keep memory while the group holds `copies`
/// copies of the model.
double CommonTokenCapacity(const schema::Engine& engine, const Group& group,
                           std::size_t copies) {
  double low = 0;
  double high = kMaxTokens;
  for (int step = 0; step < kSearchSteps; ++step) {
    const double middle = (low + high) / 2;
    const bool fits =
        LayerCapacity(engine, group, middle) >= copies * engine.layers;
    (fits ? low : high) = middle;
  }
  return low;
}

/// Returns how many copies of the model fit in the group if each keeps memory
/// for as many requests as its first stage has slots. With fewer copies,
/// requests would wait for slots while memory is free, and the loss of a stage
/// would interrupt more of them.
std::size_t CopiesThatFit(const schema::Engine& engine, const Group& group) {
  const double request = engine.usual_prompt + engine.usual_answer / 2;
  return LayerCapacity(engine, group, engine.slots * request) / engine.layers;
}

/// Returns the step time relative to the reference accelerator, or a very large
/// factor for an unknown accelerator.
double StepTimeFactor(const schema::Engine& engine,
                      const ModelUpstream& upstream) {
  const schema::Accelerator* accelerator =
      FindAccelerator(engine, upstream.accelerator);
  return accelerator == nullptr ? 1e9 : accelerator->pace;
}

/// Places one copy of the model on a group that holds no layers. The fastest
/// upstreams get the first layers; surplus capacity is taken from the slowest.
void PlaceCopy(const schema::Engine& engine, Group group) {
  std::stable_sort(
      group.begin(), group.end(),
      [&](const ModelUpstream* left, const ModelUpstream* right) {
        return std::make_tuple(StepTimeFactor(engine, *left), left->id) <
               std::make_tuple(StepTimeFactor(engine, *right), right->id);
      });
  const double tokens = CommonTokenCapacity(engine, group, 1);
  std::vector<std::uint32_t> sizes;
  std::uint32_t total = 0;
  for (const ModelUpstream* upstream : group) {
    sizes.push_back(LayersThatFit(engine, upstream->accelerator, tokens));
    total += sizes.back();
  }
  while (total > engine.layers) {
    for (std::size_t index = sizes.size();
         index-- > 0 && total > engine.layers;) {
      if (sizes[index] == 0) continue;
      --sizes[index];
      --total;
    }
  }
  std::uint32_t first = 0;
  for (std::size_t index = 0; index < group.size(); ++index) {
    group[index]->layers = {first, first + sizes[index]};
    first += sizes[index];
  }
}

/// Returns for each layer how many upstreams of the group hold it.
std::vector<std::size_t> CountCopiesPerLayer(const schema::Engine& engine,
                                             const Group& group) {
  std::vector<std::size_t> counts(engine.layers, 0);
  for (const ModelUpstream* upstream : group) {
    for (std::uint32_t layer = upstream->layers.first;
         layer < std::min(upstream->layers.end, engine.layers); ++layer) {
      ++counts[layer];
    }
  }
  return counts;
}

/// Returns how many copies of the model were placed on the group: the median
/// number of copies per layer, as the loss of an upstream affects some layers
/// only.
std::size_t PlacedCopies(const schema::Engine& engine, const Group& group) {
  std::vector<std::size_t> counts = CountCopiesPerLayer(engine, group);
  const auto middle =
      counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  return *middle;
}

/// Returns the first run of layers that fewer than `copies` upstreams of the
/// group hold; empty if there is none.
Range FindFirstGap(const schema::Engine& engine, const Group& group,
                   std::size_t copies) {
  const std::vector<std::size_t> counts = CountCopiesPerLayer(engine, group);
  const auto missing = [copies](std::size_t count) { return count < copies; };
  const auto first = std::find_if(counts.begin(), counts.end(), missing);
  const auto end = std::find_if_not(first, counts.end(), missing);
  return {static_cast<std::uint32_t>(first - counts.begin()),
          static_cast<std::uint32_t>(end - counts.begin())};
}

/// Returns how many tokens of requests fit beside the layers of an upstream.
double TokenCapacity(const schema::Engine& engine,
                     const ModelUpstream& upstream) {
  return TokensThatFit(engine, upstream.accelerator, upstream.layers.size());
}

/// Returns the empty upstream that can hold the most layers while it keeps
/// memory for `tokens` tokens of requests; null if there is none.
ModelUpstream* FindLargestEmpty(const schema::Engine& engine,
                                const Group& group, double tokens) {
  ModelUpstream* best = nullptr;
  std::uint32_t most_layers = 0;
  for (ModelUpstream* upstream : group) {
    const std::uint32_t fits =
        LayersThatFit(engine, upstream->accelerator, tokens);
    if (upstream->layers.empty() && fits > most_layers) {
      most_layers = fits;
      best = upstream;
    }
  }
  return best;
}

/// Extends the adjacent upstream that can take the most layers of `gap` while
/// it keeps memory for `tokens` tokens of requests. Returns whether there was
/// one.
bool ExtendIntoGap(const schema::Engine& engine, const Group& group, Range gap,
                   double tokens) {
  ModelUpstream* best = nullptr;
  std::uint32_t most_extra = 0;
  for (ModelUpstream* upstream : group) {
    if (upstream->layers.empty()) continue;
    const bool adjacent =
        upstream->layers.end == gap.first || upstream->layers.first == gap.end;
    const std::uint32_t fits =
        LayersThatFit(engine, upstream->accelerator, tokens);
    if (!adjacent || fits <= upstream->layers.size()) continue;
    const std::uint32_t extra = fits - upstream->layers.size();
    if (extra > most_extra) {
      most_extra = extra;
      best = upstream;
    }
  }
  if (best == nullptr) return false;
  const std::uint32_t taken = std::min(most_extra, gap.size());
  if (best->layers.end == gap.first) {
    best->layers.end += taken;
  } else {
    best->layers.first -= taken;
  }
  return true;
}

/// Assigns missing layers to empty upstreams, then to the upstreams that hold
/// the adjacent layers. No upstream gives up layers: it would accept no new
/// requests until all requests through it have ended, which would block its
/// whole chain.
void FillGaps(const schema::Engine& engine, const Group& group) {
  const double common = CommonTokenCapacity(engine, group, 1);
  for (const double fraction : kMemoryFractions) {
    const double tokens = fraction * common;
    for (Range gap = FindFirstGap(engine, group, 1); !gap.empty();
         gap = FindFirstGap(engine, group, 1)) {
      ModelUpstream* empty = FindLargestEmpty(engine, group, tokens);
      if (empty != nullptr) {
        const std::uint32_t fits =
            LayersThatFit(engine, empty->accelerator, tokens);
        empty->layers = {gap.first, gap.first + std::min(fits, gap.size())};
      } else if (!ExtendIntoGap(engine, group, gap, tokens)) {
        break;
      }
    }
  }
}

/// Assigns layers of which fewer than `copies` copies exist to empty upstreams.
/// A layer with one copy can be served, so no other upstream changes its
/// layers.
void RestoreCopies(const schema::Engine& engine, const Group& group,
                   std::size_t copies) {
  const double tokens =
      kMemoryFractionWithSpares * CommonTokenCapacity(engine, group, copies);
  for (std::size_t copy = 2; copy <= copies; ++copy) {
    for (Range gap = FindFirstGap(engine, group, copy); !gap.empty();
         gap = FindFirstGap(engine, group, copy)) {
      ModelUpstream* empty = FindLargestEmpty(engine, group, tokens);
      if (empty == nullptr) return;
      const std::uint32_t fits =
          LayersThatFit(engine, empty->accelerator, tokens);
      empty->layers = {gap.first, gap.first + std::min(fits, gap.size())};
    }
  }
}

/// Returns the group sorted by first layer; empty upstreams are sorted to the
/// first gap.
Group SortByLayer(const schema::Engine& engine, const Group& group) {
  const Range gap = FindFirstGap(engine, group, 1);
  const auto first = [&gap](const ModelUpstream* upstream) {
    return upstream->layers.empty() ? gap.first : upstream->layers.first;
  };
  Group sorted = group;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [&first](const ModelUpstream* left, const ModelUpstream* right) {
        return first(left) < first(right);
      });
  return sorted;
}

/// Returns how many layers of `range` are not in `held`.
std::uint32_t CountNewLayers(Range range, Range held) {
  const std::uint32_t first = std::max(range.first, held.first);
  const std::uint32_t end = std::min(range.end, held.end);
  return range.size() - (end > first ? end - first : 0);
}

/// Partitions all layers over a group sorted by layer, so that each upstream
/// keeps memory for `tokens` tokens of requests. Minimizes the sum of the
/// squared numbers of layers to load: the largest load determines when all
/// layers are available again. Dynamic programming over the layer at which each
/// upstream ends. Returns whether a partition was found. It takes layers away
/// from upstreams, so it is a last resort.
bool RepartitionLayers(const schema::Engine& engine, const Group& sorted,
                       double tokens) {
  constexpr std::uint64_t kNone = UINT64_MAX;
  const std::uint32_t layers = engine.layers;
  std::vector<std::vector<std::uint64_t>> cost(
      sorted.size() + 1, std::vector<std::uint64_t>(layers + 1, kNone));
  std::vector<std::vector<std::uint32_t>> from(
      sorted.size() + 1, std::vector<std::uint32_t>(layers + 1, 0));
  cost[0][0] = 0;
  for (std::size_t index = 0; index < sorted.size(); ++index) {
    const std::uint32_t max_layers =
        LayersThatFit(engine, sorted[index]->accelerator, tokens);
    for (std::uint32_t first = 0; first <= layers; ++first) {
      if (cost[index][first] == kNone) continue;
      for (std::uint32_t end = first;
           end <= std::min(layers, first + max_layers); ++end) {
        const std::uint64_t new_layers =
            CountNewLayers({first, end}, sorted[index]->layers);
        const std::uint64_t total =
            cost[index][first] + new_layers * new_layers;
        if (total >= cost[index + 1][end]) continue;
        cost[index + 1][end] = total;
        from[index + 1][end] = first;
      }
    }
  }
  if (cost[sorted.size()][layers] == kNone) return false;
  std::uint32_t end = layers;
  for (std::size_t index = sorted.size(); index-- > 0;) {
    const std::uint32_t first = from[index + 1][end];
    sorted[index]->layers = first == end ? Range{} : Range{first, end};
    end = first;
  }
  return true;
}

/// Assigns empty upstreams a second copy of the layers whose only upstream has
/// far less memory for requests than the common token capacity.
void ReplicateConstrained(const schema::Engine& engine, const Group& group) {
  const double threshold =
      kReplicationThreshold * CommonTokenCapacity(engine, group, 1);
  for (ModelUpstream* empty : group) {
    if (!empty->layers.empty()) continue;
    const ModelUpstream* constrained = nullptr;
    for (const ModelUpstream* upstream : group) {
      if (upstream->layers.empty()) continue;
      const bool replicated = std::any_of(
          group.begin(), group.end(), [upstream](const ModelUpstream* other) {
            return other != upstream && !other->layers.empty() &&
                   other->layers.first < upstream->layers.end &&
                   other->layers.end > upstream->layers.first;
          });
      const double capacity = TokenCapacity(engine, *upstream);
      if (replicated || capacity >= threshold) continue;
      if (constrained == nullptr ||
          capacity < TokenCapacity(engine, *constrained)) {
        constrained = upstream;
      }
    }
    if (constrained == nullptr) return;
    const std::uint32_t fits =
        LayersThatFit(engine, empty->accelerator, threshold);
    if (fits == 0) continue;
    const Range range = constrained->layers;
    empty->layers = {range.first, std::min(range.end, range.first + fits)};
  }
}

/// Returns the group without its spares, which stay empty to replace a lost
/// upstream. The upstreams with the least memory are set aside, as many as
/// leave enough memory for requests.
Group WithoutSpares(const schema::Engine& engine, Group group,
                    std::size_t copies) {
  std::stable_sort(group.begin(), group.end(),
                   [&](const ModelUpstream* left, const ModelUpstream* right) {
                     return LayersThatFit(engine, left->accelerator, 0) >
                            LayersThatFit(engine, right->accelerator, 0);
                   });
  const double all = CommonTokenCapacity(engine, group, copies);
  for (std::size_t spare = 0;
       spare < kMaxSparesPerCopy * copies && group.size() > 1; ++spare) {
    const Group fewer(group.begin(), group.end() - 1);
    const bool enough =
        LayerCapacity(engine, fewer, 0) >= copies * engine.layers &&
        CommonTokenCapacity(engine, fewer, copies) >=
            kMemoryFractionWithSpares * all;
    if (!enough) break;
    group = fewer;
  }
  return group;
}

/// Splits a group into `count` groups of similar capacity: the largest upstream
/// goes first, each to the group with the least capacity so far. No group gets
/// more upstreams than a chain may have stages.
std::vector<Group> SplitGroup(const schema::Engine& engine, Group group,
                              std::size_t count) {
  const auto fits = [&](const ModelUpstream* upstream) {
    return LayersThatFit(engine, upstream->accelerator, 0);
  };
  std::stable_sort(group.begin(), group.end(),
                   [&](const ModelUpstream* left, const ModelUpstream* right) {
                     return fits(left) > fits(right);
                   });
  std::vector<Group> groups(count);
  for (ModelUpstream* upstream : group) {
    const auto smallest =
        std::min_element(groups.begin(), groups.end(),
                         [&](const Group& left, const Group& right) {
                           return LayerCapacity(engine, left, 0) <
                                  LayerCapacity(engine, right, 0);
                         });
    const bool full =
        engine.max_stages > 0 && smallest->size() >= engine.max_stages;
    if (!full) smallest->push_back(upstream);
  }
  return groups;
}

/// Places up to `copies` complete copies of the model on a group that holds no
/// layers.
void PlaceCopies(const schema::Engine& engine, const Group& group,
                 std::size_t copies) {
  const auto whole = [&engine](const Group& part) {
    return LayerCapacity(engine, part, 0) >= engine.layers;
  };
  for (; copies > 0; --copies) {
    const std::vector<Group> parts =
        SplitGroup(engine, WithoutSpares(engine, group, copies), copies);
    if (!std::all_of(parts.begin(), parts.end(), whole)) continue;
    for (const Group& part : parts) PlaceCopy(engine, part);
    return;
  }
}

/// Plans one group: places copies if it is empty, otherwise fills gaps,
/// restores lost copies and uses the remaining empty upstreams.
void PlanGroup(const schema::Engine& engine, const Group& group) {
  if (LayerCapacity(engine, group, 0) < engine.layers) return;
  const bool unplaced = std::all_of(
      group.begin(), group.end(),
      [](const ModelUpstream* upstream) { return upstream->layers.empty(); });
  if (unplaced) {
    const std::size_t copies = CopiesThatFit(engine, group);
    PlaceCopies(engine, group, std::max<std::size_t>(copies, 1));
    return;
  }
  FillGaps(engine, group);
  if (!FindFirstGap(engine, group, 1).empty()) {
    (void)RepartitionLayers(engine, SortByLayer(engine, group), 0);
    return;
  }
  RestoreCopies(engine, group, PlacedCopies(engine, group));
  Group empty;
  std::copy_if(
      group.begin(), group.end(), std::back_inserter(empty),
      [](const ModelUpstream* upstream) { return upstream->layers.empty(); });
  if (const std::size_t copies = CopiesThatFit(engine, empty); copies > 0) {
    PlaceCopies(engine, empty, copies);
  } else {
    ReplicateConstrained(engine, group);
  }
}

/// Groups upstreams by data centre. The upstreams of all data centres that
/// cannot hold a complete copy form one group.
std::vector<Group> GroupByDataCentre(const schema::Engine& engine,
                                     std::vector<ModelUpstream>& upstreams) {
  std::map<core::DataCentreId, Group> centres;
  for (ModelUpstream& upstream : upstreams) {
    if (FindAccelerator(engine, upstream.accelerator) == nullptr) continue;
    centres[upstream.data_centre].push_back(&upstream);
  }
  std::vector<Group> groups;
  Group incomplete;
  for (auto& [centre, group] : centres) {
    if (LayerCapacity(engine, group, 0) >= engine.layers) {
      groups.push_back(std::move(group));
    } else {
      incomplete.insert(incomplete.end(), group.begin(), group.end());
    }
  }
  if (!incomplete.empty()) groups.push_back(std::move(incomplete));
  return groups;
}

}  // namespace internal

const schema::Accelerator* FindAccelerator(const schema::Engine& engine,
                                           const std::string& kind) {
  const auto found = std::find_if(
      engine.accelerators.begin(), engine.accelerators.end(),
      [&kind](const auto& accelerator) { return accelerator.kind == kind; });
  return found == engine.accelerators.end() ? nullptr : &*found;
}

std::uint32_t LayersThatFit(const schema::Engine& engine,
                            const std::string& accelerator, double tokens) {
  const schema::Accelerator* found = FindAccelerator(engine, accelerator);
  if (found == nullptr || engine.layers == 0) return 0;
  const double per_layer =
      engine.layer_mb + tokens * engine.token_memory_mb / engine.layers;
  return std::min(engine.layers, static_cast<std::uint32_t>(
                                     std::floor(found->memory_mb / per_layer)));
}

double TokensThatFit(const schema::Engine& engine,
                     const std::string& accelerator, std::uint32_t layers) {
  assert(layers > 0 && "TokensThatFit requires at least one layer");
  const schema::Accelerator* found = FindAccelerator(engine, accelerator);
  if (found == nullptr) return 0;
  const double free = found->memory_mb - engine.layer_mb * layers;
  return std::max(0.0, free) /
         (engine.token_memory_mb / engine.layers * layers);
}

std::vector<Assignment> Plan(const schema::Engine& engine,
                             std::vector<ModelUpstream> upstreams) {
  const std::vector<ModelUpstream> previous = upstreams;
  for (const internal::Group& group :
       internal::GroupByDataCentre(engine, upstreams)) {
    internal::PlanGroup(engine, group);
  }
  std::vector<Assignment> changes;
  for (std::size_t index = 0; index < upstreams.size(); ++index) {
    // An upstream that the plan leaves empty keeps its current layers.
    const Range layers = upstreams[index].layers;
    if (layers.empty() || layers == previous[index].layers) continue;
    changes.push_back({upstreams[index].id, upstreams[index].layers});
  }
  return changes;
}

}  // namespace foxquay::placement
