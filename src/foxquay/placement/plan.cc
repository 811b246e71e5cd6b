#include "foxquay/placement/plan.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace foxquay::placement {
namespace internal {

/// Requests of mean size that a stage must have memory for when it takes up
/// missing layers; with fewer it would hold up the whole chain.
constexpr double kMinRequests = 8;

/// Steps of the search for the memory that all stages can keep.
constexpr int kSearchSteps = 40;

const schema::Accelerator* Find(const schema::Engine& engine,
                                const std::string& kind) {
  const auto found = std::find_if(
      engine.accelerators.begin(), engine.accelerators.end(),
      [&kind](const auto& accelerator) { return accelerator.kind == kind; });
  return found == engine.accelerators.end() ? nullptr : &*found;
}

double MinTokens(const schema::Engine& engine) {
  return kMinRequests * (engine.usual_prompt + engine.usual_answer);
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
  double high = 1e7;
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

void FillGaps(const schema::Engine& engine, const Group& group) {
  for (const double tokens : {MinTokens(engine), MinTokens(engine) / 4}) {
    for (Range gap = FirstGap(engine, group); !gap.empty();
         gap = FirstGap(engine, group)) {
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

/// Gives upstreams without layers a second copy of those whose holder has the
/// least memory for requests.
void Reinforce(const schema::Engine& engine, const Group& group) {
  for (Holder* empty : group) {
    if (!empty->layers.empty()) continue;
    const Holder* tightest = nullptr;
    double least = 0;
    for (const Holder* holder : group) {
      if (holder->layers.empty()) continue;
      double room =
          TokensThatFit(engine, holder->accelerator, holder->layers.size());
      for (const Holder* other : group) {
        const bool copy = other != holder && !other->layers.empty() &&
                          other->layers.first <= holder->layers.first &&
                          other->layers.end >= holder->layers.end;
        if (copy) {
          room +=
              TokensThatFit(engine, other->accelerator, other->layers.size());
        }
      }
      const bool fits =
          LayersThatFit(engine, empty->accelerator, MinTokens(engine) / 4) >=
          holder->layers.size();
      if (fits && (tightest == nullptr || room < least)) {
        tightest = holder;
        least = room;
      }
    }
    if (tightest != nullptr) empty->layers = tightest->layers;
  }
}

void PlanGroup(const schema::Engine& engine, const Group& group) {
  const bool fresh =
      std::all_of(group.begin(), group.end(),
                  [](const Holder* holder) { return holder->layers.empty(); });
  if (Capacity(engine, group, 0) < engine.layers) return;
  if (fresh) {
    LayOut(engine, group);
  } else {
    FillGaps(engine, group);
    Reinforce(engine, group);
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
