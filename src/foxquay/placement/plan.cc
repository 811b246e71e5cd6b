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

/// Upper end of the search for memory, in tokens.
constexpr double kMaxTokens = 1e7;

/// Part of the memory that all could keep below which a holder's layers are
/// copied to a spare upstream.
constexpr double kWorthCopying = 0.5;

/// Parts of the memory that all could keep that are tried in turn when missing
/// layers are taken up; with none a chain still serves one request at a time.
constexpr std::array<double, 4> kKeptParts = {0.6, 0.3, 0.1, 0.0};

/// Upstreams that stay empty at most for each copy in a data centre: a
/// disruption takes two of a dozen at once and the one after that can wait for
/// their return.
constexpr std::size_t kMaxSpares = 3;

/// Part of the memory for requests that is kept when upstreams stay empty.
constexpr double kKeptWithSpares = 0.6;

/// Steps of the search for the memory that all stages can keep.
constexpr int kSearchSteps = 40;

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
/// keep while the group holds all layers `copies` times.
double SharedTokens(const schema::Engine& engine, const Group& group,
                    std::size_t copies) {
  double low = 0;
  double high = kMaxTokens;
  for (int step = 0; step < kSearchSteps; ++step) {
    const double middle = (low + high) / 2;
    const bool fits = Capacity(engine, group, middle) >= copies * engine.layers;
    (fits ? low : high) = middle;
  }
  return low;
}

/// Returns how many copies of the model fit into a group if each is to keep the
/// requests that its first stage may take at once. Fewer would leave work
/// waiting for slots with memory free, and a lost stage would stop more of it.
std::size_t CopiesThatFit(const schema::Engine& engine, const Group& group) {
  const double request = engine.usual_prompt + engine.usual_answer / 2;
  return Capacity(engine, group, engine.slots * request) / engine.layers;
}

double Pace(const schema::Engine& engine, const Holder& holder) {
  const schema::Accelerator* accelerator =
      FindAccelerator(engine, holder.accelerator);
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
  const double tokens = SharedTokens(engine, group, 1);
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

/// Returns how many in the group hold each layer.
std::vector<std::size_t> CountHolders(const schema::Engine& engine,
                                      const Group& group) {
  std::vector<std::size_t> held(engine.layers, 0);
  for (const Holder* holder : group) {
    for (std::uint32_t layer = holder->layers.first;
         layer < std::min(holder->layers.end, engine.layers); ++layer) {
      ++held[layer];
    }
  }
  return held;
}

/// Returns the copies that a group was laid out with: those of most layers, as
/// a loss takes some layers only.
std::size_t CopiesInForce(const schema::Engine& engine, const Group& group) {
  std::vector<std::size_t> held = CountHolders(engine, group);
  const auto middle =
      held.begin() + static_cast<std::ptrdiff_t>(held.size() / 2);
  std::nth_element(held.begin(), middle, held.end());
  return *middle;
}

/// Returns the first run of layers that fewer than `copies` in the group hold.
Range FirstGap(const schema::Engine& engine, const Group& group,
               std::size_t copies) {
  const std::vector<std::size_t> held = CountHolders(engine, group);
  const auto missing = [copies](std::size_t count) { return count < copies; };
  const auto first = std::find_if(held.begin(), held.end(), missing);
  const auto end = std::find_if_not(first, held.end(), missing);
  return {static_cast<std::uint32_t>(first - held.begin()),
          static_cast<std::uint32_t>(end - held.begin())};
}

double Room(const schema::Engine& engine, const Holder& holder) {
  return TokensThatFit(engine, holder.accelerator, holder.layers.size());
}

Holder* LargestEmpty(const schema::Engine& engine, const Group& group,
                     double tokens) {
  Holder* best = nullptr;
  std::uint32_t most = 0;
  for (Holder* holder : group) {
    const std::uint32_t fits =
        LayersThatFit(engine, holder->accelerator, tokens);
    if (holder->layers.empty() && fits > most) {
      most = fits;
      best = holder;
    }
  }
  return best;
}

/// Extends the holder beside a gap that can take most of it; returns whether
/// one could.
bool ExtendInto(const schema::Engine& engine, const Group& group, Range gap,
                double tokens) {
  Holder* best = nullptr;
  std::uint32_t most = 0;
  for (Holder* holder : group) {
    if (holder->layers.empty()) continue;
    const bool beside =
        holder->layers.end == gap.first || holder->layers.first == gap.end;
    const std::uint32_t fits =
        LayersThatFit(engine, holder->accelerator, tokens);
    if (!beside || fits <= holder->layers.size()) continue;
    const std::uint32_t room = fits - holder->layers.size();
    if (room > most) {
      most = room;
      best = holder;
    }
  }
  if (best == nullptr) return false;
  const std::uint32_t taken = std::min(most, gap.size());
  if (best->layers.end == gap.first) {
    best->layers.end += taken;
  } else {
    best->layers.first -= taken;
  }
  return true;
}

/// Gives missing layers to upstreams that hold none, then to the holders beside
/// them. No holder gives layers up: it would take nothing new until all that
/// passes through it has ended, and the whole chain with it.
void FillGaps(const schema::Engine& engine, const Group& group) {
  const double shared = SharedTokens(engine, group, 1);
  for (const double part : kKeptParts) {
    const double tokens = part * shared;
    for (Range gap = FirstGap(engine, group, 1); !gap.empty();
         gap = FirstGap(engine, group, 1)) {
      Holder* empty = LargestEmpty(engine, group, tokens);
      if (empty != nullptr) {
        const std::uint32_t fits =
            LayersThatFit(engine, empty->accelerator, tokens);
        empty->layers = {gap.first, gap.first + std::min(fits, gap.size())};
      } else if (!ExtendInto(engine, group, gap, tokens)) {
        break;
      }
    }
  }
}

/// Gives layers that are held less often than there are copies to upstreams
/// that hold none. What is held once is served, so nothing else moves for it.
void Restore(const schema::Engine& engine, const Group& group,
             std::size_t copies) {
  const double tokens = kKeptWithSpares * SharedTokens(engine, group, copies);
  for (std::size_t copy = 2; copy <= copies; ++copy) {
    for (Range gap = FirstGap(engine, group, copy); !gap.empty();
         gap = FirstGap(engine, group, copy)) {
      Holder* empty = LargestEmpty(engine, group, tokens);
      if (empty == nullptr) return;
      const std::uint32_t fits =
          LayersThatFit(engine, empty->accelerator, tokens);
      empty->layers = {gap.first, gap.first + std::min(fits, gap.size())};
    }
  }
}

/// Returns the group in the order of its layers; those that hold none come
/// where layers are missing.
Group InOrder(const schema::Engine& engine, const Group& group) {
  const Range gap = FirstGap(engine, group, 1);
  const auto first = [&gap](const Holder* holder) {
    return holder->layers.empty() ? gap.first : holder->layers.first;
  };
  Group order = group;
  std::stable_sort(order.begin(), order.end(),
                   [&first](const Holder* left, const Holder* right) {
                     return first(left) < first(right);
                   });
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
/// at which each one ends. Returns whether a division was found; it takes
/// layers from holders, so it serves only where nothing less helps.
bool DivideLayers(const schema::Engine& engine, const Group& order,
                  double tokens) {
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

/// Gives spare upstreams a second copy of the layers whose holder has far less
/// memory for requests than the others could have.
void Reinforce(const schema::Engine& engine, const Group& group) {
  const double least = kWorthCopying * SharedTokens(engine, group, 1);
  for (Holder* empty : group) {
    if (!empty->layers.empty()) continue;
    const Holder* tightest = nullptr;
    for (const Holder* holder : group) {
      if (holder->layers.empty()) continue;
      const bool copied = std::any_of(
          group.begin(), group.end(), [holder](const Holder* other) {
            return other != holder && !other->layers.empty() &&
                   other->layers.first < holder->layers.end &&
                   other->layers.end > holder->layers.first;
          });
      const double room = Room(engine, *holder);
      if (copied || room >= least) continue;
      if (tightest == nullptr || room < Room(engine, *tightest)) {
        tightest = holder;
      }
    }
    if (tightest == nullptr) return;
    const std::uint32_t fits = LayersThatFit(engine, empty->accelerator, least);
    if (fits == 0) continue;
    const Range range = tightest->layers;
    empty->layers = {range.first, std::min(range.end, range.first + fits)};
  }
}

/// Returns the group without the upstreams that stay empty to replace a lost
/// one: as many of those with the least memory as leave enough for requests.
Group WithoutSpares(const schema::Engine& engine, Group group,
                    std::size_t copies) {
  std::stable_sort(group.begin(), group.end(),
                   [&](const Holder* left, const Holder* right) {
                     return LayersThatFit(engine, left->accelerator, 0) >
                            LayersThatFit(engine, right->accelerator, 0);
                   });
  const double all = SharedTokens(engine, group, copies);
  for (std::size_t spare = 0; spare < kMaxSpares * copies && group.size() > 1;
       ++spare) {
    const Group fewer(group.begin(), group.end() - 1);
    const bool enough =
        Capacity(engine, fewer, 0) >= copies * engine.layers &&
        SharedTokens(engine, fewer, copies) >= kKeptWithSpares * all;
    if (!enough) break;
    group = fewer;
  }
  return group;
}

/// Divides a group into parts of even capacity, the largest first and each to
/// the part that has least.
std::vector<Group> DivideGroup(const schema::Engine& engine, Group group,
                               std::size_t parts) {
  const auto fits = [&](const Holder* holder) {
    return LayersThatFit(engine, holder->accelerator, 0);
  };
  std::stable_sort(group.begin(), group.end(),
                   [&](const Holder* left, const Holder* right) {
                     return fits(left) > fits(right);
                   });
  std::vector<Group> divided(parts);
  for (Holder* holder : group) {
    const auto least = std::min_element(
        divided.begin(), divided.end(),
        [&](const Group& left, const Group& right) {
          return Capacity(engine, left, 0) < Capacity(engine, right, 0);
        });
    const bool full =
        engine.max_stages > 0 && least->size() >= engine.max_stages;
    if (!full) least->push_back(holder);
  }
  return divided;
}

/// Lays as many whole copies out over a group that holds none as it can.
void LayOutCopies(const schema::Engine& engine, const Group& group,
                  std::size_t copies) {
  const auto whole = [&engine](const Group& part) {
    return Capacity(engine, part, 0) >= engine.layers;
  };
  for (; copies > 0; --copies) {
    const std::vector<Group> parts =
        DivideGroup(engine, WithoutSpares(engine, group, copies), copies);
    if (!std::all_of(parts.begin(), parts.end(), whole)) continue;
    for (const Group& part : parts) LayOut(engine, part);
    return;
  }
}

void PlanGroup(const schema::Engine& engine, const Group& group) {
  if (Capacity(engine, group, 0) < engine.layers) return;
  const bool fresh =
      std::all_of(group.begin(), group.end(),
                  [](const Holder* holder) { return holder->layers.empty(); });
  if (fresh) {
    const std::size_t copies = CopiesThatFit(engine, group);
    LayOutCopies(engine, group, std::max<std::size_t>(copies, 1));
    return;
  }
  FillGaps(engine, group);
  if (!FirstGap(engine, group, 1).empty()) {
    (void)DivideLayers(engine, InOrder(engine, group), 0);
    return;
  }
  Restore(engine, group, CopiesInForce(engine, group));
  Group empty;
  std::copy_if(group.begin(), group.end(), std::back_inserter(empty),
               [](const Holder* holder) { return holder->layers.empty(); });
  if (const std::size_t copies = CopiesThatFit(engine, empty); copies > 0) {
    LayOutCopies(engine, empty, copies);
  } else {
    Reinforce(engine, group);
  }
}

/// Groups upstreams by data centre; those whose data centre cannot hold all
/// layers form one group together.
std::vector<Group> GroupByDataCentre(const schema::Engine& engine,
                                     std::vector<Holder>& holders) {
  std::map<core::DataCentreId, Group> centres;
  for (Holder& holder : holders) {
    if (FindAccelerator(engine, holder.accelerator) == nullptr) continue;
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
  assert(layers > 0 && "tokens are counted beside held layers");
  const schema::Accelerator* found = FindAccelerator(engine, accelerator);
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
    // One that is left without layers keeps those that it has.
    const Range layers = holders[at].layers;
    if (layers.empty() || layers == before[at].layers) continue;
    changes.push_back({holders[at].id, holders[at].layers});
  }
  return changes;
}

}  // namespace foxquay::placement
