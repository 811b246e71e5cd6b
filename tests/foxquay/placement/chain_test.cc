#include "foxquay/placement/chain.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace foxquay::placement {
namespace {

using std::chrono::milliseconds;

Candidate MakeCandidate(std::size_t upstream, Range layers,
                        const std::string& centre = "a", int per_layer = 1) {
  Candidate candidate;
  candidate.upstream = upstream;
  candidate.layers = layers;
  candidate.data_centre = core::DataCentreId(centre);
  candidate.per_layer = milliseconds(per_layer);
  return candidate;
}

}  // namespace

TEST_CASE("a chain runs each layer once where the held ranges overlap") {
  const Chain chain =
      CheapestChain({MakeCandidate(0, {0, 5}), MakeCandidate(1, {3, 8}),
                     MakeCandidate(2, {8, 10})},
                    10, milliseconds(1));
  CHECK(chain.stages ==
        std::vector<Stage>{{0, {0, 5}}, {1, {5, 8}}, {2, {8, 10}}});
}

TEST_CASE("there is no chain where a layer is missing") {
  const std::vector<Candidate> held = {MakeCandidate(0, {0, 5}),
                                       MakeCandidate(1, {6, 10})};
  CHECK(CheapestChain(held, 10, {}).stages.empty());
  CHECK(FirstMissingLayer(held, 10) == 5);
}

// All prompts that cross between two data centres share one link.
TEST_CASE("a chain crosses data centres only if that costs less") {
  const std::vector<Candidate> held = {MakeCandidate(0, {0, 5}, "a", 2),
                                       MakeCandidate(1, {5, 10}, "a", 2),
                                       MakeCandidate(2, {0, 5}, "b", 1)};
  CHECK(CheapestChain(held, 10, milliseconds(20)).stages.front().upstream == 0);
  CHECK(CheapestChain(held, 10, milliseconds(1)).stages.front().upstream == 2);
}

TEST_CASE("every chain runs each layer once and in order") {
  rc::check("chains cover [0, layers)", [] {
    const auto layers = *rc::gen::inRange<std::uint32_t>(1, 20);
    const auto count = *rc::gen::inRange<std::size_t>(0, 15);
    std::vector<Candidate> held;
    for (std::size_t at = 0; at < count; ++at) {
      const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
      const auto end = *rc::gen::inRange<std::uint32_t>(first, layers + 1);
      const auto centre = *rc::gen::inRange(0, 3);
      held.push_back(MakeCandidate(at, {first, end}, std::to_string(centre),
                                   *rc::gen::inRange(1, 9)));
    }
    const Chain chain = CheapestChain(held, layers, milliseconds(3));
    const bool whole = FirstMissingLayer(held, layers) == layers;
    RC_ASSERT(chain.stages.empty() == !whole);
    std::uint32_t at = 0;
    for (const Stage& stage : chain.stages) {
      RC_ASSERT(stage.layers.first == at);
      RC_ASSERT(stage.layers.end > at);
      RC_ASSERT(held[stage.upstream].layers.first <= at);
      RC_ASSERT(held[stage.upstream].layers.end >= stage.layers.end);
      at = stage.layers.end;
    }
    RC_ASSERT(chain.stages.empty() || at == layers);
  });
}

}  // namespace foxquay::placement
