#include "foxquay/placement/repair.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/placement/capacity.h"

namespace foxquay::placement::internal {
namespace {

/// Fractions of the common token capacity that members keep when missing layers
/// are placed beside those that they hold, tried in this order. Below the last
/// one the layers are rather placed anew.
constexpr std::array<double, 2> kMemoryFractions = {0.6, 0.3};

/// Fractions that members keep when the layers are placed anew, tried in this
/// order. With 0 a chain still serves one request at a time.
constexpr std::array<double, 5> kRepartitionFractions = {0.9, 0.6, 0.3, 0.1, 0};

/// Loads that run side by side; a store of weights serves further ones more
/// slowly.
constexpr std::size_t kParallelLoads = 6;

/// Loads are not divided into shorter ones than this. Upstreams announce about
/// as rarely that one has ended, and each costs an order and a stage more.
constexpr core::Duration kShortLoad = std::chrono::milliseconds(1500);

/// Returns the empty member that can hold the most layers while it keeps memory
/// for `tokens` tokens of requests; null if there is none.
Member* FindLargestEmpty(const schema::Engine& engine, Pool& pool,
                         double tokens) {
  Member* best = nullptr;
  std::uint32_t most_layers = 0;
  for (Member& member : pool) {
    const std::uint32_t fits =
        LayersThatFit(engine, *member.accelerator, tokens);
    if (member.layers.empty() && fits > most_layers) {
      most_layers = fits;
      best = &member;
    }
  }
  return best;
}

/// Returns the most layers that one empty member is to load, so that the
/// longest of the loads for `missing` layers is short, but not shorter than
/// kShortLoad. `copies` bounds the length of the chains.
std::uint32_t LargestPart(const schema::Engine& engine, const Pool& pool,
                          std::uint32_t missing, double tokens,
                          std::size_t copies) {
  std::vector<std::uint32_t> fits;
  for (const Member& member : EmptyMembers(pool)) {
    fits.push_back(LayersThatFit(engine, *member.accelerator, tokens));
  }
  std::sort(fits.rbegin(), fits.rend());
  const std::size_t placed = pool.size() - fits.size();
  if (fits.size() > kParallelLoads) fits.resize(kParallelLoads);
  const std::size_t stages = placed / copies + fits.size();
  if (engine.max_stages > 0 && stages > engine.max_stages) return missing;
  std::uint32_t part = 1;
  if (engine.load > core::Duration::zero()) {
    part = std::max(part, static_cast<std::uint32_t>(
                              kShortLoad * engine.layers / engine.load));
  }
  for (; part < missing; ++part) {
    std::uint32_t loaded = 0;
    for (const std::uint32_t most : fits) loaded += std::min(most, part);
    if (loaded >= missing) break;
  }
  return part;
}

/// Assigns the layers for which `held` is 0 to empty members, each of which
/// keeps memory for `tokens` tokens of requests and gets at most `part` layers.
/// Returns whether all were assigned.
bool AssignMissing(const schema::Engine& engine, Pool& pool,
                   std::vector<std::size_t> held, double tokens,
                   std::uint32_t part) {
  for (Range gap = FindFirstGap(held, 1); !gap.empty();
       gap = FindFirstGap(held, 1)) {
    Member* member = FindLargestEmpty(engine, pool, tokens);
    if (member == nullptr) return false;
    const std::uint32_t fits =
        std::min(part, LayersThatFit(engine, *member->accelerator, tokens));
    member->layers = {gap.first, gap.first + std::min(fits, gap.size())};
    std::fill(held.begin() + member->layers.first,
              held.begin() + member->layers.end, 1);
  }
  return true;
}

/// Divides the layers for which `held` is 0 over the empty members, each of
/// which keeps memory for `min_tokens` tokens of requests, or for as many more
/// as leave the layers a place, up to `max_tokens`.
void DivideMissing(const schema::Engine& engine, Pool& pool,
                   const std::vector<std::size_t>& held, std::size_t copies,
                   double min_tokens, double max_tokens) {
  const auto missing = static_cast<std::uint32_t>(
      std::count(held.begin(), held.end(), std::size_t{0}));
  const Pool empty = EmptyMembers(pool);
  if (missing == 0 || empty.empty()) return;
  const double tokens =
      std::clamp(CommonTokenCapacity(engine, empty, missing), min_tokens,
                 std::max(min_tokens, max_tokens));
  const std::uint32_t part = LargestPart(engine, pool, missing, tokens, copies);
  // Short runs of layers leave memory unused, so that larger parts may be
  // needed.
  for (const auto& [kept, most] :
       {std::pair{tokens, part}, std::pair{tokens, missing},
        std::pair{min_tokens, missing}}) {
    Pool trial = pool;
    const bool all = AssignMissing(engine, trial, held, kept, most);
    if (!all && kept != min_tokens) continue;
    pool = std::move(trial);
    return;
  }
}

/// Returns the requests that the holders of a layer have to exceed for it to
/// count as placed `copies` times: less than the usual room by half a copy, and
/// no more than the empty members can help all layers below it to while they
/// keep memory for `tokens` tokens of requests.
double FindScarceRoom(const schema::Engine& engine, const Pool& pool,
                      std::size_t copies, double tokens) {
  std::vector<std::uint32_t> rooms = MeasureRoom(engine, pool);
  std::sort(rooms.begin(), rooms.end());
  const double usual = rooms[rooms.size() / 2];
  const double scarce = usual * (1 - 0.5 / static_cast<double>(copies));
  const std::uint32_t fits = LayerCapacity(engine, EmptyMembers(pool), tokens);
  double found = -1;
  for (auto room = rooms.begin(); room != rooms.end() && *room < scarce;) {
    const auto next = std::upper_bound(room, rooms.end(), *room);
    const bool fit = std::cmp_less_equal(next - rooms.begin(), fits);
    if (found >= 0 && !fit) break;
    found = *room;
    room = next;
  }
  return found;
}

/// Extends the adjacent member that can take the most layers of `gap` while it
/// keeps memory for `tokens` tokens of requests. Returns whether there was one.
bool ExtendIntoGap(const schema::Engine& engine, Pool& pool, Range gap,
                   double tokens) {
  Member* best = nullptr;
  std::uint32_t most_extra = 0;
  for (Member& member : pool) {
    if (member.layers.empty()) continue;
    const bool adjacent =
        member.layers.end == gap.first || member.layers.first == gap.end;
    const std::uint32_t fits =
        LayersThatFit(engine, *member.accelerator, tokens);
    if (!adjacent || fits <= member.layers.size()) continue;
    const std::uint32_t extra = fits - member.layers.size();
    if (extra > most_extra) {
      most_extra = extra;
      best = &member;
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

/// Sorts the pool by first layer; empty members are sorted to the first gap.
void SortByLayer(const schema::Engine& engine, Pool& pool) {
  const Range gap = FindFirstGap(CountHolders(engine, pool), 1);
  const auto first = [&gap](const Member& member) {
    return member.layers.empty() ? gap.first : member.layers.first;
  };
  std::stable_sort(pool.begin(), pool.end(),
                   [&first](const Member& left, const Member& right) {
                     return first(left) < first(right);
                   });
}

/// Returns how many layers of `range` are not in `held`.
std::uint32_t CountNewLayers(Range range, Range held) {
  const std::uint32_t first = std::max(range.first, held.first);
  const std::uint32_t end = std::min(range.end, held.end);
  return range.size() - (end > first ? end - first : 0);
}

/// Partitions all layers over a pool sorted by layer, so that each member keeps
/// memory for `tokens` tokens of requests. Minimizes the sum of the squared
/// numbers of layers to load: the largest load determines when all layers are
/// available again. Dynamic programming over the layer at which each member
/// ends. Returns whether a partition was found.
bool Partition(const schema::Engine& engine, Pool& pool, double tokens) {
  constexpr std::uint64_t kNone = UINT64_MAX;
  const std::uint32_t layers = engine.layers;
  std::vector<std::vector<std::uint64_t>> cost(
      pool.size() + 1, std::vector<std::uint64_t>(layers + 1, kNone));
  std::vector<std::vector<std::uint32_t>> from(
      pool.size() + 1, std::vector<std::uint32_t>(layers + 1, 0));
  cost[0][0] = 0;
  for (std::size_t index = 0; index < pool.size(); ++index) {
    const std::uint32_t max_layers =
        LayersThatFit(engine, *pool[index].accelerator, tokens);
    for (std::uint32_t first = 0; first <= layers; ++first) {
      if (cost[index][first] == kNone) continue;
      for (std::uint32_t end = first;
           end <= std::min(layers, first + max_layers); ++end) {
        const std::uint64_t new_layers =
            CountNewLayers({first, end}, pool[index].layers);
        const std::uint64_t total =
            cost[index][first] + new_layers * new_layers;
        if (total >= cost[index + 1][end]) continue;
        cost[index + 1][end] = total;
        from[index + 1][end] = first;
      }
    }
  }
  if (cost[pool.size()][layers] == kNone) return false;
  std::uint32_t end = layers;
  for (std::size_t index = pool.size(); index-- > 0;) {
    const std::uint32_t first = from[index + 1][end];
    pool[index].layers = first == end ? Range{} : Range{first, end};
    end = first;
  }
  return true;
}

}  // namespace

void FillMissingLayers(const schema::Engine& engine, Pool& pool,
                       std::size_t copies) {
  const auto first_gap = [&] {
    return FindFirstGap(CountHolders(engine, pool), 1);
  };
  if (first_gap().empty()) return;
  const double common =
      CommonTokenCapacity(engine, pool, copies * engine.layers);
  for (const double fraction : kMemoryFractions) {
    const double tokens = fraction * common;
    DivideMissing(engine, pool, CountHolders(engine, pool), copies, tokens,
                  tokens);
    for (Range gap = first_gap(); !gap.empty(); gap = first_gap()) {
      if (!ExtendIntoGap(engine, pool, gap, tokens)) break;
    }
  }
}

void RestoreCopies(const schema::Engine& engine, Pool& pool,
                   std::size_t copies) {
  if (EmptyMembers(pool).empty()) return;
  const double common =
      CommonTokenCapacity(engine, pool, copies * engine.layers);
  const double tokens = kMemoryFractions.front() * common;
  const double scarce = FindScarceRoom(engine, pool, copies, tokens);
  std::vector<std::size_t> held;
  for (const std::uint32_t room : MeasureRoom(engine, pool)) {
    held.push_back(room > scarce ? 1 : 0);
  }
  DivideMissing(engine, pool, held, copies, tokens, common);
}

void RepartitionLayers(const schema::Engine& engine, Pool& pool) {
  SortByLayer(engine, pool);
  const double common = CommonTokenCapacity(engine, pool, engine.layers);
  for (const double fraction : kRepartitionFractions) {
    if (Partition(engine, pool, fraction * common)) return;
  }
}

}  // namespace foxquay::placement::internal
