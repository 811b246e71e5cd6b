#include "foxquay/placement/outlook.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

#include "foxquay/placement/capacity.h"
#include "foxquay/placement/chain.h"
#include "foxquay/placement/repair.h"

namespace foxquay::placement::internal {
namespace {

/// Time that the tokens of a pass take from one stage to the next.
constexpr core::Duration kHopTime = std::chrono::microseconds(300);

/// Time of a pass with the wait for the pass before it, of which half is left
/// on average.
constexpr double kWaitFactor = 1.5;

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
  if (engine.step <= core::Duration::zero()) {
    return MeasurePool(engine, pool).requests;
  }
  const double added =
      Seconds(engine.per_sequence).count() +
      Seconds(engine.context_per_k).count() / 1000 * UsualTokens(engine);
  const double read =
      engine.prefill_per_s > 0 ? engine.usual_prompt / engine.prefill_per_s : 0;
  const double passes =
      1 + engine.usual_answer / std::max(1.0, 1.0 * engine.stride);
  struct Stage {
    const Member* member;
    double room;
    double slots;
    double requests = 0;
  };
  std::vector<Stage> stages;
  for (const Member& member : pool) {
    if (member.layers.empty() || member.layers.end > engine.layers) continue;
    const double room = RequestsThatFit(engine, member);
    const bool limited = member.layers.first == 0 && engine.slots > 0;
    stages.push_back({&member, room, limited ? engine.slots : room});
  }
  // Time that a request takes for each layer of a stage.
  const auto per_layer = [&](const Stage& stage, double requests) {
    const schema::Accelerator& accelerator = *stage.member->accelerator;
    const double step = Seconds(engine.step).count() + added * requests;
    return (kWaitFactor * engine.usual_answer * accelerator.pace * step +
            accelerator.read_factor * read) /
           engine.layers;
  };
  std::vector<Candidate> candidates(stages.size());
  double total = 0;
  while (true) {
    for (std::size_t index = 0; index < stages.size(); ++index) {
      const Stage& stage = stages[index];
      Candidate& candidate = candidates[index];
      candidate.upstream = index;
      const bool free = std::min(stage.room, stage.slots) - stage.requests >= 1;
      candidate.layers = free ? stage.member->layers : Range{};
      candidate.per_layer = std::chrono::duration_cast<core::Duration>(
          Seconds(per_layer(stage, stage.requests)));
      candidate.fixed = core::Scale(kHopTime, passes);
    }
    const Chain chain = CheapestChain(candidates, engine.layers, {});
    if (chain.stages.empty()) return total;
    double flow = std::numeric_limits<double>::max();
    for (const placement::Stage& hop : chain.stages) {
      const Stage& stage = stages[hop.upstream];
      flow = std::min(flow, std::min(stage.room, stage.slots) - stage.requests);
    }
    double time = Seconds(kHopTime).count() * passes *
                  static_cast<double>(chain.stages.size());
    for (const placement::Stage& hop : chain.stages) {
      Stage& stage = stages[hop.upstream];
      stage.requests += flow;
      time += per_layer(stage, stage.requests) * hop.layers.size();
    }
    total += flow / time;
  }
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
