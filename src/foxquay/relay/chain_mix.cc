#include "foxquay/relay/chain_mix.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace foxquay::relay {
namespace internal {

/// Requests from which on upstreams count as without a limit.
constexpr double kMostRequests = 1e6;

/// Relative difference of loads that are distributed alike.
constexpr double kTolerance = 0.1;

/// Cost of a passage that keeps chains from crossing if there is another way.
constexpr core::Duration kForbidden = std::chrono::hours(1);

/// Returns how often a chain passes from one data centre to another.
std::size_t CountCrossings(
    const placement::Chain& chain,
    const std::vector<placement::Candidate>& candidates) {
  std::size_t count = 0;
  for (std::size_t hop = 1; hop < chain.stages.size(); ++hop) {
    const auto& from = candidates[chain.stages[hop - 1].upstream];
    const auto& to = candidates[chain.stages[hop].upstream];
    if (from.data_centre != to.data_centre) ++count;
  }
  return count;
}

}  // namespace internal

LoadSpread SpreadLoad(std::vector<MixStage>& stages, std::uint32_t layers,
                      const Crossing& crossing, const Work& work,
                      double requests) {
  const double part = requests / static_cast<double>(kMixParts);
  std::vector<placement::Candidate> candidates;
  candidates.reserve(stages.size());
  std::vector<StageLoad> loads(stages.size());
  const auto update = [&](std::size_t index) {
    const StageCost& cost = stages[index].cost;
    candidates[index].per_layer = cost.PerLayer(work, loads[index]);
    if (!cost.Fits(work, loads[index])) candidates[index].layers = {};
  };
  for (std::size_t index = 0; index < stages.size(); ++index) {
    stages[index].load = {};
    candidates.push_back(stages[index].candidate);
    candidates.back().upstream = index;
    update(index);
  }
  LoadSpread spread;
  constexpr auto kMostParts = static_cast<std::size_t>(kMaxRoom * kMixParts);
  using Seconds = std::chrono::duration<double>;
  double pipe_use = 0;
  std::size_t count = 0;
  for (; count < kMostParts; ++count) {
    const double pipe_left = 1 - pipe_use / kMaxPipeUse;
    placement::Chain chain = placement::CheapestChain(
        candidates, layers,
        pipe_left > 0 ? std::min(core::Scale(crossing.cost, 1 / pipe_left),
                                 internal::kForbidden)
                      : internal::kForbidden);
    if (chain.stages.empty()) break;
    const std::size_t crossings = internal::CountCrossings(chain, candidates);
    if (crossings > 0 && pipe_left <= 0) break;
    Seconds time{};
    for (const placement::Stage& stage : chain.stages) {
      time += stages[stage.upstream].cost.TimePerLayer(work,
                                                       loads[stage.upstream]) *
              static_cast<std::int64_t>(stage.layers.size());
    }
    pipe_use += static_cast<double>(crossings) * part *
                (Seconds(crossing.time) / std::max(time, Seconds(0.001)));
    for (const placement::Stage& stage : chain.stages) {
      StageLoad& load = loads[stage.upstream];
      load.sequences += part;
      load.tokens += part * work.MeanTokens();
      if (count < kMixParts) stages[stage.upstream].load = load;
      update(stage.upstream);
    }
    if (count < kMixParts) spread.chains.push_back(std::move(chain));
  }
  spread.room = static_cast<double>(count) / static_cast<double>(kMixParts);
  return spread;
}

LoadPlan PlanLoad(std::vector<MixStage>& stages, std::uint32_t layers,
                  const Crossing& crossing, const Work& work, double requests,
                  double room) {
  LoadPlan plan;
  plan.requests = std::max({1.0, requests, kPlannedUse * room});
  LoadSpread spread = SpreadLoad(stages, layers, crossing, work, plan.requests);
  const auto spread_again = [&](double load) {
    plan.requests = load;
    spread = SpreadLoad(stages, layers, crossing, work, load);
  };
  while (spread.room >= kMaxRoom && plan.requests < internal::kMostRequests) {
    spread_again(2 * kMaxRoom * plan.requests);
  }
  plan.room = plan.requests * spread.room;
  const double planned = std::max({1.0, requests, kPlannedUse * plan.room});
  if (std::abs(planned - plan.requests) > internal::kTolerance * planned) {
    spread_again(planned);
  }
  plan.chains = std::move(spread.chains);
  return plan;
}

}  // namespace foxquay::relay
