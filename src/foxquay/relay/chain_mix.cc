#include "foxquay/relay/chain_mix.h"

#include <utility>

namespace foxquay::relay {

std::vector<placement::Chain> SpreadLoad(std::vector<MixStage>& stages,
                                         std::uint32_t layers,
                                         core::Duration crossing_cost,
                                         const Work& work, double requests) {
  const double part = requests / static_cast<double>(kMixParts);
  std::vector<placement::Candidate> candidates;
  candidates.reserve(stages.size());
  const auto update = [&](std::size_t index) {
    const MixStage& stage = stages[index];
    candidates[index].per_layer = stage.cost.PerLayer(work, stage.load);
    if (!stage.cost.Fits(work, stage.load)) candidates[index].layers = {};
  };
  for (std::size_t index = 0; index < stages.size(); ++index) {
    stages[index].load = {};
    candidates.push_back(stages[index].candidate);
    candidates.back().upstream = index;
    update(index);
  }
  std::vector<placement::Chain> chains;
  for (std::size_t count = 0; count < kMixParts; ++count) {
    placement::Chain chain =
        placement::CheapestChain(candidates, layers, crossing_cost);
    if (chain.stages.empty()) break;
    for (const placement::Stage& stage : chain.stages) {
      StageLoad& load = stages[stage.upstream].load;
      load.sequences += part;
      load.tokens += part * work.MeanTokens();
      update(stage.upstream);
    }
    chains.push_back(std::move(chain));
  }
  return chains;
}

}  // namespace foxquay::relay
