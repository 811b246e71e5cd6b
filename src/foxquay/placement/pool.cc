#include "foxquay/placement/pool.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <map>
#include <numeric>
#include <utility>

namespace foxquay::placement::internal {
namespace {

/// Upper bound of the search in CommonTokenCapacity, in tokens.
constexpr double kMaxTokens = 1e7;

/// Bisection steps of that search; a step more than leaves half a token.
constexpr int kSearchSteps = 25;

}  // namespace

std::vector<Pool> SplitByDataCentre(
    const schema::Engine& engine, const std::vector<ModelUpstream>& upstreams) {
  std::vector<std::size_t> order(upstreams.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&upstreams](std::size_t left, std::size_t right) {
              return upstreams[left].id < upstreams[right].id;
            });
  std::map<core::DataCentreId, Pool> centres;
  for (const std::size_t index : order) {
    const ModelUpstream& upstream = upstreams[index];
    const schema::Accelerator* accelerator =
        FindAccelerator(engine, upstream.accelerator);
    if (accelerator == nullptr) continue;
    centres[upstream.data_centre].push_back(
        {index, accelerator, upstream.layers});
  }
  std::vector<Pool> pools;
  Pool incomplete;
  for (auto& [centre, pool] : centres) {
    if (LayerCapacity(engine, pool, 0) >= engine.layers) {
      pools.push_back(std::move(pool));
    } else {
      incomplete.insert(incomplete.end(), pool.begin(), pool.end());
    }
  }
  if (!incomplete.empty()) pools.push_back(std::move(incomplete));
  return pools;
}

std::uint32_t LayersThatFit(const schema::Engine& engine,
                            const schema::Accelerator& accelerator,
                            double tokens) {
  if (engine.layers == 0) return 0;
  const double per_layer =
      engine.layer_mb + tokens * engine.token_memory_mb / engine.layers;
  if (accelerator.memory_mb >= per_layer * engine.layers) return engine.layers;
  return static_cast<std::uint32_t>(
      std::floor(accelerator.memory_mb / per_layer));
}

double TokensThatFit(const schema::Engine& engine,
                     const schema::Accelerator& accelerator,
                     std::uint32_t layers) {
  assert(layers > 0 && "TokensThatFit requires at least one layer");
  const double free = accelerator.memory_mb - engine.layer_mb * layers;
  return std::max(0.0, free) /
         (engine.token_memory_mb / engine.layers * layers);
}

std::uint32_t LayerCapacity(const schema::Engine& engine, const Pool& pool,
                            double tokens) {
  std::uint32_t total = 0;
  for (const Member& member : pool) {
    total += LayersThatFit(engine, *member.accelerator, tokens);
  }
  return total;
}

double CommonTokenCapacity(const schema::Engine& engine, const Pool& pool,
                           std::size_t layers) {
  double low = 0;
  double high = kMaxTokens;
  for (int step = 0; step < kSearchSteps; ++step) {
    const double middle = (low + high) / 2;
    (LayerCapacity(engine, pool, middle) >= layers ? low : high) = middle;
  }
  return low;
}

std::vector<std::size_t> CountHolders(const schema::Engine& engine,
                                      const Pool& pool) {
  std::vector<std::size_t> counts(engine.layers, 0);
  for (const Member& member : pool) {
    for (std::uint32_t layer = member.layers.first;
         layer < std::min(member.layers.end, engine.layers); ++layer) {
      ++counts[layer];
    }
  }
  return counts;
}

std::size_t PlacedCopies(const schema::Engine& engine, const Pool& pool) {
  std::vector<std::size_t> counts = CountHolders(engine, pool);
  const auto middle =
      counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  return *middle;
}

Range FindFirstGap(const std::vector<std::size_t>& counts, std::size_t least) {
  const auto missing = [least](std::size_t count) { return count < least; };
  const auto first = std::find_if(counts.begin(), counts.end(), missing);
  const auto end = std::find_if_not(first, counts.end(), missing);
  return {static_cast<std::uint32_t>(first - counts.begin()),
          static_cast<std::uint32_t>(end - counts.begin())};
}

Pool EmptyMembers(const Pool& pool) {
  Pool empty;
  std::copy_if(pool.begin(), pool.end(), std::back_inserter(empty),
               [](const Member& member) { return member.layers.empty(); });
  return empty;
}

}  // namespace foxquay::placement::internal
