#include "foxquay/placement/outlook.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <utility>

#include "foxquay/core/time.h"
#include "foxquay/placement/capacity.h"
#include "foxquay/placement/repair.h"

namespace foxquay::placement::internal {
namespace {

/// Time that a token takes to the next stage of a chain.
constexpr core::Duration kHandoffTime = std::chrono::microseconds(300);

/// Returns the group of up to `size` members with the most layers; empty if no
/// member holds any.
std::vector<std::size_t> LargestGroup(const Pool& pool, std::size_t size) {
  std::vector<std::size_t> largest;
  std::uint32_t most_layers = 0;
  for (std::size_t first = 0; first < pool.size(); ++first) {
    if (pool[first].layers.empty()) continue;
    std::vector<std::size_t> group = GroupFrom(pool, first, size);
    std::uint32_t layers = 0;
    for (const std::size_t at : group) layers += pool[at].layers.size();
    if (layers <= most_layers) continue;
    most_layers = layers;
    largest = std::move(group);
  }
  return largest;
}

Pool Without(const Pool& pool, const std::vector<std::size_t>& group) {
  Pool left;
  for (std::size_t at = 0; at < pool.size(); ++at) {
    const bool lost = std::find(group.begin(), group.end(), at) != group.end();
    if (!lost) left.push_back(pool[at]);
  }
  return left;
}

}  // namespace

std::vector<std::size_t> GroupFrom(const Pool& pool, std::size_t first,
                                   std::size_t size) {
  std::vector<std::size_t> group = {first};
  while (group.size() < size) {
    const std::uint32_t end = pool[group.back()].layers.end;
    const auto next =
        std::find_if(pool.begin(), pool.end(), [end](const Member& member) {
          return !member.layers.empty() && member.layers.first == end;
        });
    if (next == pool.end()) break;
    group.push_back(static_cast<std::size_t>(next - pool.begin()));
  }
  return group;
}

double Throughput(const schema::Engine& engine, const Pool& pool) {
  using Seconds = std::chrono::duration<double>;
  const double requests = MeasurePool(engine, pool).requests;
  if (requests == 0) return 0;
  // A step of a token, and what each further request of a stage adds to it.
  const double step = Seconds(engine.step).count();
  const double added =
      Seconds(engine.per_sequence).count() +
      Seconds(engine.context_per_k).count() / 1000 * UsualTokens(engine);
  const double read =
      engine.prefill_per_s > 0 ? engine.usual_prompt / engine.prefill_per_s : 0;
  const double stages =
      static_cast<double>(pool.size() - EmptyMembers(pool).size()) /
      static_cast<double>(std::max<std::size_t>(1, PlacedCopies(engine, pool)));
  const double handoffs =
      engine.usual_answer * stages * Seconds(kHandoffTime).count();
  std::vector<double> time(engine.layers, 0);
  const std::vector<std::size_t> holders = CountHolders(engine, pool);
  for (const Member& member : pool) {
    const schema::Accelerator& accelerator = *member.accelerator;
    for (std::uint32_t layer = member.layers.first;
         layer < std::min(member.layers.end, engine.layers); ++layer) {
      const auto count = static_cast<double>(holders[layer]);
      const double steps = accelerator.pace * (step + added * requests / count);
      time[layer] +=
          (engine.usual_answer * steps + accelerator.read_factor * read) /
          count;
    }
  }
  const double duration =
      std::accumulate(time.begin(), time.end(), 0.0) / engine.layers;
  return duration > 0 ? requests / (duration + handoffs) : requests;
}

double ExpectedThroughput(const schema::Engine& engine, const Pool& pool) {
  const std::size_t copies =
      std::max<std::size_t>(1, PlacedCopies(engine, pool));
  double total = 2 * Throughput(engine, pool);
  for (const std::size_t size : {std::size_t{1}, kGroupSize}) {
    Pool left = Without(pool, LargestGroup(pool, size));
    FillMissingLayers(engine, left, copies);
    RestoreCopies(engine, left, copies);
    total += Throughput(engine, left);
  }
  return total / 4;
}

}  // namespace foxquay::placement::internal
