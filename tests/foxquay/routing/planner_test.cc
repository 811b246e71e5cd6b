#include "foxquay/routing/planner.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace {

constexpr std::uint32_t kLayers = 6;
constexpr double kInfinity = std::numeric_limits<double>::infinity();

/// Upstreams with random layers, data centres and layer times.
struct Sample {
  std::vector<schema::Announcement> announced;
  std::vector<double> layer_seconds;
};

Sample RandomSample() {
  Sample sample;
  const auto count = *rc::gen::inRange<std::size_t>(1, 7);
  for (std::size_t i = 0; i < count; ++i) {
    const auto a = *rc::gen::inRange<std::uint32_t>(0, kLayers);
    // Half of them hold the last layer, so that most samples have a cover.
    const auto b = *rc::gen::oneOf(rc::gen::just(kLayers - 1),
                                   rc::gen::inRange<std::uint32_t>(0, kLayers));
    schema::Announcement announced;
    announced.id = core::UpstreamId("u" + std::to_string(i));
    announced.data_centre =
        core::DataCentreId("d" + std::to_string(*rc::gen::inRange(0, 3)));
    announced.model = core::ModelId("drafter");
    // A different accelerator puts each upstream in a class of its own.
    announced.accelerator = announced.id.value();
    announced.layers = {std::min(a, b), std::max(a, b)};
    announced.model_layers = kLayers;
    announced.slots = 1;
    sample.announced.push_back(announced);
    sample.layer_seconds.push_back(*rc::gen::inRange(1, 20) / 1000.0);
  }
  return sample;
}

/// Returns links none of which is slower than a detour; BuildGroups assumes so.
LinkTable RandomLinks() {
  LinkTable links;
  const int same = *rc::gen::inRange(0, 1000);
  const int other = same + *rc::gen::inRange(0, 9000);
  links.same_data_centre = std::chrono::microseconds(same);
  links.other_data_centre = std::chrono::microseconds(other);
  links.overrides[{core::DataCentreId("d1"), core::DataCentreId("d2")}] =
      std::chrono::microseconds(*rc::gen::inRange(0, 2 * other + 1));
  return links;
}

/// Returns the least cost of layers `first` onwards with the activation in
/// `data_centre`, by trying every stage and every cut.
double LeastCost(const Group& group, const std::vector<Pick>& picks,
                 std::uint32_t first, std::size_t data_centre) {
  const std::size_t count = group.data_centres.size();
  if (first == group.layers) return group.links[data_centre * count];
  double best = kInfinity;
  for (std::size_t c = 0; c < group.classes.size(); ++c) {
    const StageClass& stage_class = group.classes[c];
    if (first < stage_class.layers.first || first > stage_class.layers.last) {
      continue;
    }
    const double link =
        group.links[data_centre * count + stage_class.data_centre_index];
    for (std::uint32_t end = first + 1; end <= stage_class.layers.last + 1;
         ++end) {
      best = std::min(best, link + picks[c].layer_seconds * (end - first) +
                                LeastCost(group, picks, end,
                                          stage_class.data_centre_index));
    }
  }
  return best;
}

double Cost(const Group& group, const std::vector<Step>& steps,
            const std::vector<Pick>& picks) {
  const std::size_t count = group.data_centres.size();
  double cost = 0;
  std::size_t current = 0;
  for (const Step& step : steps) {
    for (std::size_t c = 0; c < picks.size(); ++c) {
      if (picks[c].upstream != step.upstream) continue;
      cost +=
          group.links[current * count + group.classes[c].data_centre_index] +
          picks[c].layer_seconds * (step.layers.last - step.layers.first + 1);
      current = group.classes[c].data_centre_index;
    }
  }
  return cost + group.links[current * count];
}

Chain ToChain(const Upstreams& upstreams, const std::vector<Step>& steps) {
  Chain chain;
  for (const Step& step : steps) {
    chain.push_back({upstreams[step.upstream].announced.id, "", step.layers});
  }
  return chain;
}

}  // namespace

// Guards against chains with gaps or overlaps, against missing a chain that
// exists and against choosing one that costs more than the cheapest.
TEST_CASE("the planned chain is the cheapest of all chains", "[fuzz]") {
  REQUIRE(rc::check("dynamic programming equals exhaustive search", [] {
    const Sample sample = RandomSample();
    Upstreams upstreams;
    static_cast<void>(upstreams.Replace(sample.announced));
    const auto groups =
        BuildGroups(upstreams, core::ModelId("drafter"), "", std::nullopt,
                    core::DataCentreId("d0"), RandomLinks());
    RC_ASSERT(groups.size() == 1);
    std::vector<Pick> picks;
    for (const StageClass& stage_class : groups[0].classes) {
      const UpstreamIndex index = stage_class.members.at(0);
      picks.push_back({index, sample.layer_seconds[index]});
    }
    Planner planner;
    const auto steps = planner.Cheapest(groups[0], picks);
    const double best = LeastCost(groups[0], picks, 0, 0);
    RC_ASSERT(steps.has_value() == (best < kInfinity));
    RC_ASSERT(UncoveredLayers(groups[0], std::vector<bool>(picks.size(), true))
                  .empty() == steps.has_value());
    if (!steps) return;
    RC_ASSERT(Cost(groups[0], *steps, picks) < best + 1e-9);
    Chain chain = ToChain(upstreams, *steps);
    RC_ASSERT(Covers(chain, kLayers));
    JoinRepeated(chain);
    RC_ASSERT(Covers(chain, kLayers));
  }));
}

// Guards against a chain that names one upstream twice: the upstream would
// refuse the second stage as a duplicate.
TEST_CASE("stages between two uses of one upstream are joined") {
  const auto stage = [](const char* id, std::uint32_t first,
                        std::uint32_t last) {
    return Stage{core::UpstreamId(id), "", {first, last}};
  };
  Chain chain{stage("a", 0, 1), stage("b", 2, 3), stage("a", 4, 4),
              stage("c", 5, 5)};
  JoinRepeated(chain);
  CHECK(chain == Chain{stage("a", 0, 4), stage("c", 5, 5)});
}

}  // namespace foxquay::routing
