#include "foxquay/relay/chain_mix.h"

#include <utility>

namespace foxquay::relay {

LoadSpread SpreadLoad(std::vector<MixStage>& stages, std::uint32_t layers,
                      core::Duration crossing_cost, const Work& work,
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
  std::size_t count = 0;
  for (; count < kMostParts; ++count) {
    placement::Chain chain =
        placement::CheapestChain(candidates, layers, crossing_cost);
    if (chain.stages.empty()) break;
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

}  // namespace foxquay::relay
