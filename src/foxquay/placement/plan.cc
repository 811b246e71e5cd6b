#include "foxquay/placement/plan.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace foxquay::placement {
namespace internal {

/// Upper end of the search for memory, in tokens.
constexpr double kMaxTokens = 1e7;

/// Part of the memory that all could keep below which layers are moved though
/// none is missing; the rest allows for the unevenness of whole layers.
constexpr double kWorthMoving = 0.5;

/// Parts of the memory that all could keep that are tried in turn when layers
/// are divided anew; a smaller one leaves more freedom to move little.
constexpr std::array<double, 4> kKeptParts = {0.8, 0.6, 0.3, 0.0};

/// Steps of the search for the memory that all stages can keep.
constexpr int kSearchSteps = 40;

const schema::Accelerator* Find(const schema::Engine& engine,
                                const std::string& kind) {
  const auto found = std::find_if(
      engine.accelerators.begin(), engine.accelerators.end(),
      [&kind](const auto& accelerator) { return accelerator.kind == kind; });
  return found == engine.accelerators.end() ? nullptr : &*found;
}

using Group = std::vector<Holder*>;

std::uint32_t Capacity(const schema::Engine& engine, const Group& group,
                       double tokens) {
  std::uint32_t total = 0;
  for (const Holder* holder : group) {
    total += LayersThatFit(engine, holder->accelerator, tokens);
  }
  return total;
}

/// Returns the largest memory for requests, in tokens, that every upstream can
/// keep while the group holds all layers.
double SharedTokens(const schema::Engine& engine, const Group& group) {
  double low = 0;
  double high = kMaxTokens;
  for (int step = 0; step < kSearchSteps; ++step) {
    const double middle = (low + high) / 2;
    const bool fits = Capacity(engine, group, middle) >= engine.layers;
    (fits ? low : high) = middle;
  }
  return low;
}

double Pace(const schema::Engine& engine, const Holder& holder) {
  const schema::Accelerator* accelerator = Find(engine, holder.accelerator);
  return accelerator == nullptr ? 1e9 : accelerator->pace;
}

/// Lays all layers out over a group that holds none; the fastest come first
/// and the surplus is taken from the slowest.
void LayOut(const schema::Engine& engine, Group group) {
  std::stable_sort(group.begin(), group.end(),
                   [&](const Holder* left, const Holder* right) {
                     return std::make_tuple(Pace(engine, *left), left->id) <
                            std::make_tuple(Pace(engine, *right), right->id);
                   });
  const double tokens = SharedTokens(engine, group);
  std::vector<std::uint32_t> sizes;
  std::uint32_t total = 0;
  for (const Holder* holder : group) {
    sizes.push_back(LayersThatFit(engine, holder->accelerator, tokens));
    total += sizes.back();
  }
  while (total > engine.layers) {
    for (std::size_t at = sizes.size(); at-- > 0 && total > engine.layers;) {
      if (sizes[at] == 0) continue;
      --sizes[at];
      --total;
    }
  }
  std::uint32_t first = 0;
  for (std::size_t at = 0; at < group.size(); ++at) {
    group[at]->layers = {first, first + sizes[at]};
    first += sizes[at];
  }
}

/// Returns the first run of layers that no one in the group holds.
Range FirstGap(const schema::Engine& engine, const Group& group) {
  std::vector<bool> held(engine.layers, false);
  for (const Holder* holder : group) {
    for (std::uint32_t layer = holder->layers.first;
         layer < std::min(holder->layers.end, engine.layers); ++layer) {
      held[layer] = true;
    }
  }
  const auto first = std::find(held.begin(), held.end(), false);
  const auto end = std::find(first, held.end(), true);
  return {static_cast<std::uint32_t>(first - held.begin()),
          static_cast<std::uint32_t>(end - held.begin())};
}

double Room(const schema::Engine& engine, const Holder& holder) {
  return TokensThatFit(engine, holder.accelerator, holder.layers.size());
}

/// Returns the least memory for requests, in tokens, of those that hold layers.
double LeastRoom(const schema::Engine& engine, const Group& group) {
  double least = kMaxTokens;
  for (const Holder* holder : group) {
    if (!holder->layers.empty()) {
      least = std::min(least, Room(engine, *holder));
    }
  }
  return least;
}

/// Returns the group in the order of its layers. Those that hold none come
/// where layers are missing, the first gap first, or behind the holder with the
/// least memory for requests.
Group InOrder(const schema::Engine& engine, const Group& group) {
  Group order;
  Group empty;
  for (Holder* holder : group) {
    (holder->layers.empty() ? empty : order).push_back(holder);
  }
  const auto by_layers = [](const Holder* left, const Holder* right) {
    return std::tie(left->layers.first, left->layers.end) <
           std::tie(right->layers.first, right->layers.end);
  };
  std::stable_sort(order.begin(), order.end(), by_layers);
  std::stable_sort(empty.begin(), empty.end(),
                   [&](const Holder* left, const Holder* right) {
                     return LayersThatFit(engine, left->accelerator, 0) >
                            LayersThatFit(engine, right->accelerator, 0);
                   });
  const Range gap = FirstGap(engine, group);
  for (Holder* holder : empty) {
    auto place = std::find_if(
        order.begin(), order.end(),
        [&gap](const Holder* other) { return other->layers.first >= gap.end; });
    if (gap.empty()) {
      place =
          std::min_element(order.begin(), order.end(),
                           [&](const Holder* left, const Holder* right) {
                             return Room(engine, *left) < Room(engine, *right);
                           });
    }
    order.insert(place, holder);
  }
  return order;
}

/// Layers of `range` that are not in `held`.
std::uint32_t NewLayers(Range range, Range held) {
  const std::uint32_t first = std::max(range.first, held.first);
  const std::uint32_t end = std::min(range.end, held.end);
  return range.size() - (end > first ? end - first : 0);
}

/// Divides all layers over an ordered group so that each keeps memory for
/// `tokens` and the loads are small and even: the time until all layers are
/// held again is that of the largest load. Dynamic programming over the layer
/// at which each one ends.
bool Divide(const schema::Engine& engine, const Group& order, double tokens) {
  constexpr std::uint64_t kNone = UINT64_MAX;
  const std::uint32_t layers = engine.layers;
  std::vector<std::vector<std::uint64_t>> cost(
      order.size() + 1, std::vector<std::uint64_t>(layers + 1, kNone));
  std::vector<std::vector<std::uint32_t>> from(
      order.size() + 1, std::vector<std::uint32_t>(layers + 1, 0));
  cost[0][0] = 0;
  for (std::size_t at = 0; at < order.size(); ++at) {
    const std::uint32_t most =
        LayersThatFit(engine, order[at]->accelerator, tokens);
    for (std::uint32_t first = 0; first <= layers; ++first) {
      if (cost[at][first] == kNone) continue;
      for (std::uint32_t end = first; end <= std::min(layers, first + most);
           ++end) {
        const std::uint64_t loads = NewLayers({first, end}, order[at]->layers);
        const std::uint64_t total = cost[at][first] + loads * loads;
        if (total >= cost[at + 1][end]) continue;
        cost[at + 1][end] = total;
        from[at + 1][end] = first;
      }
    }
  }
  if (cost[order.size()][layers] == kNone) return false;
  std::uint32_t end = layers;
  for (std::size_t at = order.size(); at-- > 0;) {
    const std::uint32_t first = from[at + 1][end];
    order[at]->layers = first == end ? Range{} : Range{first, end};
    end = first;
  }
  return true;
}

void PlanGroup(const schema::Engine& engine, const Group& group) {
  if (Capacity(engine, group, 0) < engine.layers) return;
  const bool fresh =
      std::all_of(group.begin(), group.end(),
                  [](const Holder* holder) { return holder->layers.empty(); });
  if (fresh) {
    LayOut(engine, group);
    return;
  }
  const double shared = SharedTokens(engine, group);
  const bool whole = FirstGap(engine, group).empty();
  if (whole && LeastRoom(engine, group) >= kWorthMoving * shared) return;
  const Group order = InOrder(engine, group);
  for (const double part : kKeptParts) {
    if (Divide(engine, order, part * shared)) return;
  }
}

/// Groups upstreams by data centre; those whose data centre cannot hold all
/// layers form one group together.
std::vector<Group> GroupByDataCentre(const schema::Engine& engine,
                                     std::vector<Holder>& holders) {
  std::map<core::DataCentreId, Group> centres;
  for (Holder& holder : holders) {
    if (Find(engine, holder.accelerator) == nullptr) continue;
    centres[holder.data_centre].push_back(&holder);
  }
  std::vector<Group> groups;
  Group rest;
  for (auto& [centre, group] : centres) {
    if (Capacity(engine, group, 0) >= engine.layers) {
      groups.push_back(std::move(group));
    } else {
      rest.insert(rest.end(), group.begin(), group.end());
    }
  }
  if (!rest.empty()) groups.push_back(std::move(rest));
  return groups;
}

}  // namespace internal

std::uint32_t LayersThatFit(const schema::Engine& engine,
                            const std::string& accelerator, double tokens) {
  const schema::Accelerator* found = internal::Find(engine, accelerator);
  if (found == nullptr || engine.layers == 0) return 0;
  const double per_layer =
      engine.layer_mb + tokens * engine.token_memory_mb / engine.layers;
  return std::min(engine.layers, static_cast<std::uint32_t>(
                                     std::floor(found->memory_mb / per_layer)));
}

double TokensThatFit(const schema::Engine& engine,
                     const std::string& accelerator, std::uint32_t layers) {
  assert(layers > 0 && "tokens are counted beside held layers");
  const schema::Accelerator* found = internal::Find(engine, accelerator);
  if (found == nullptr) return 0;
  const double free = found->memory_mb - engine.layer_mb * layers;
  return std::max(0.0, free) /
         (engine.token_memory_mb / engine.layers * layers);
}

std::vector<Assignment> Plan(const schema::Engine& engine,
                             std::vector<Holder> holders) {
  const std::vector<Holder> before = holders;
  for (const internal::Group& group :
       internal::GroupByDataCentre(engine, holders)) {
    internal::PlanGroup(engine, group);
  }
  std::vector<Assignment> changes;
  for (std::size_t at = 0; at < holders.size(); ++at) {
    if (holders[at].layers == before[at].layers) continue;
    changes.push_back({holders[at].id, holders[at].layers});
  }
  return changes;
}

}  // namespace foxquay::placement
