#include "foxquay/placement/plan.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "engines.h"
#include "fleets.h"

namespace foxquay::placement {
namespace {

std::vector<ModelUpstream> MakeUpstreams(const std::string& centre, int large,
                                         int small) {
  std::vector<ModelUpstream> upstreams;
  const auto add = [&](const std::string& kind, int count) {
    for (int at = 0; at < count; ++at) {
      const std::string id = centre + "-" + kind + std::to_string(10 + at);
      upstreams.push_back(
          {core::UpstreamId(id), core::DataCentreId(centre), kind, {}});
    }
  };
  add("large", large);
  add("small", small);
  return upstreams;
}

bool HoldsAllLayers(const std::vector<ModelUpstream>& upstreams,
                    const std::string& centre) {
  std::vector<bool> held(80, false);
  for (const ModelUpstream& upstream : upstreams) {
    if (upstream.data_centre.value() != centre) continue;
    for (std::uint32_t at = upstream.layers.first; at < upstream.layers.end;
         ++at) {
      held[at] = true;
    }
  }
  return std::find(held.begin(), held.end(), false) == held.end();
}

/// Returns how many upstreams hold the layer with the fewest holders.
unsigned LeastHolders(const std::vector<ModelUpstream>& upstreams) {
  std::vector<unsigned> held(80, 0);
  for (const ModelUpstream& upstream : upstreams) {
    for (std::uint32_t at = upstream.layers.first; at < upstream.layers.end;
         ++at) {
      ++held[at];
    }
  }
  return *std::min_element(held.begin(), held.end());
}

void CheckFits(const std::vector<ModelUpstream>& upstreams) {
  const schema::Engine engine = MakeEngine();
  for (const ModelUpstream& upstream : upstreams) {
    CHECK(upstream.layers.size() <=
          LayersThatFit(engine, upstream.accelerator, 0));
  }
}

std::vector<ModelUpstream> PlacedUpstreams() {
  std::vector<ModelUpstream> upstreams = MakeUpstreams("a", 2, 8);
  const std::vector<ModelUpstream> other = MakeUpstreams("b", 1, 10);
  upstreams.insert(upstreams.end(), other.begin(), other.end());
  Apply(upstreams, Plan(MakeEngine(), upstreams));
  return upstreams;
}

}  // namespace

TEST_CASE("each data centre gets a complete copy that fits in memory") {
  const std::vector<ModelUpstream> upstreams = PlacedUpstreams();
  CHECK(HoldsAllLayers(upstreams, "a"));
  CHECK(HoldsAllLayers(upstreams, "b"));
  CheckFits(upstreams);
}

// Guards against one copy spread over more upstreams than a path may have
// stages while there is memory for further copies. This happened with 35
// upstreams in a data centre and a limit of 32 stages.
TEST_CASE("a large data centre gets several copies with short chains") {
  schema::Engine engine = MakeEngine();
  engine.max_stages = 32;
  std::vector<ModelUpstream> upstreams = MakeUpstreams("a", 12, 24);
  Apply(upstreams, Plan(engine, upstreams));
  const auto starts = static_cast<std::size_t>(std::count_if(
      upstreams.begin(), upstreams.end(), [](const ModelUpstream& upstream) {
        return !upstream.layers.empty() && upstream.layers.first == 0;
      }));
  const unsigned copies = LeastHolders(upstreams);
  CHECK(copies > 1);
  CHECK(starts >= copies);
  CHECK(upstreams.size() / copies <= engine.max_stages);
  CheckFits(upstreams);
  for (std::size_t first = 0; first < upstreams.size(); ++first) {
    if (upstreams[first].layers.first > 0) continue;
    const std::vector<std::size_t> chain =
        GroupAt(upstreams, first, upstreams.size());
    CHECK(chain.size() <= engine.max_stages);
  }

  // After the loss of a stage of one copy, the others hold its layers. Only
  // empty upstreams get orders, for its layers; with one of its kind there are
  // as many copies again.
  const auto lost = std::find_if(
      upstreams.begin(), upstreams.end(),
      [](const ModelUpstream& upstream) { return upstream.layers.first > 0; });
  const ModelUpstream stage = *lost;
  upstreams.erase(lost);
  const auto check_plan = [&] {
    const std::vector<Assignment> changes = Plan(engine, upstreams);
    for (const Assignment& change : changes) {
      CHECK(change.layers.first >= stage.layers.first);
      CHECK(change.layers.end <= stage.layers.end);
    }
    Apply(upstreams, changes);
    CHECK(Plan(engine, upstreams).empty());
    return changes.size();
  };
  check_plan();
  CHECK(LeastHolders(upstreams) >= copies - 1);
  upstreams.push_back(stage);
  upstreams.back().layers = {};
  CHECK(check_plan() > 0);
  CHECK(LeastHolders(upstreams) >= copies);
}

TEST_CASE("planning an up-to-date placement yields no changes") {
  const std::vector<ModelUpstream> upstreams = PlacedUpstreams();
  CHECK(Plan(MakeEngine(), upstreams).empty());
}

// The loss of one stage breaks every chain in its data centre.
TEST_CASE("a lost stage is replaced without changes in other data centres") {
  for (std::size_t lost = 0; lost < 10; ++lost) {
    std::vector<ModelUpstream> upstreams = PlacedUpstreams();
    upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(lost));
    const std::vector<Assignment> changes = Plan(MakeEngine(), upstreams);
    Apply(upstreams, changes);
    CHECK(HoldsAllLayers(upstreams, "a"));
    CheckFits(upstreams);
    for (const Assignment& change : changes) {
      CHECK(change.id.value().front() == 'a');
    }
  }
}

TEST_CASE("a restarted upstream is assigned the missing layers") {
  std::vector<ModelUpstream> upstreams = PlacedUpstreams();
  const Range lost = upstreams[3].layers;
  upstreams[3].layers = {};
  const std::vector<Assignment> changes = Plan(MakeEngine(), upstreams);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == Assignment{upstreams[3].id, lost});
}

TEST_CASE("no assignment takes all layers from an upstream") {
  for (std::size_t first = 0; first < 9; ++first) {
    std::vector<ModelUpstream> upstreams = PlacedUpstreams();
    const auto at = upstreams.begin() + static_cast<std::ptrdiff_t>(first);
    upstreams.erase(at, at + 2);
    for (const Assignment& change : Plan(MakeEngine(), upstreams)) {
      CHECK_FALSE(change.layers.empty());
    }
  }
}

// Orders and loads cost time and money. Guards against plans that keep changing
// what is in place, and against a loss or an addition that moves layers of
// upstreams that serve.
TEST_CASE("small changes of the upstreams cause few orders") {
  rc::check("plans are stable", [] {
    Fleet fleet =
        *rc::gen::arbitrary<bool>() ? MagnoliaFleet() : TewodrosFleet();
    std::vector<ModelUpstream>& upstreams = fleet.upstreams;
    const auto remove = [&upstreams](std::size_t most) {
      for (auto left = *rc::gen::inRange<std::size_t>(0, most + 1); left > 0;
           --left) {
        const auto at = *rc::gen::inRange<std::size_t>(0, upstreams.size());
        upstreams.erase(upstreams.begin() + static_cast<std::ptrdiff_t>(at));
      }
    };
    remove(30);
    Apply(upstreams, Plan(fleet.engine, upstreams));
    RC_ASSERT(Plan(fleet.engine, upstreams).empty());
    remove(4);
    const auto added = *rc::gen::inRange(0, 5);
    for (int at = 0; at < added; ++at) {
      upstreams.push_back({core::UpstreamId("added-" + std::to_string(at)),
                           upstreams[static_cast<std::size_t>(at)].data_centre,
                           upstreams[static_cast<std::size_t>(at)].accelerator,
                           {}});
    }
    std::set<core::DataCentreId> whole;
    for (const CentreCapacity& centre :
         MeasureCapacity(fleet.engine, upstreams)) {
      if (centre.capacity.limit != Limit::kMissingLayer) {
        whole.insert(centre.data_centre);
      }
    }
    for (const Assignment& change : Plan(fleet.engine, upstreams)) {
      const auto found = std::find_if(
          upstreams.begin(), upstreams.end(),
          [&](const auto& upstream) { return upstream.id == change.id; });
      RC_ASSERT(found->layers.empty() || !whole.contains(found->data_centre));
      found->layers = change.layers;
    }
    RC_ASSERT(Plan(fleet.engine, upstreams).empty());
  });
}

// Eight copies fit by their layers alone, but an upstream that holds all layers
// but one makes no copy by itself. Guards against one that gets far fewer
// copies.
TEST_CASE("copies are placed where their usual number cannot be divided") {
  schema::Engine engine = MakeEngine();
  engine.token_memory_mb = 0;
  engine.accelerators = {{"large", 79 * engine.layer_mb, 1, 1}};
  std::vector<ModelUpstream> upstreams = MakeUpstreams("a", 9, 0);
  Apply(upstreams, Plan(engine, upstreams));
  CHECK(LeastHolders(upstreams) >= 4);
}

TEST_CASE("no layers are assigned if a complete copy does not fit") {
  CHECK(Plan(MakeEngine(), MakeUpstreams("a", 1, 2)).empty());
}

}  // namespace foxquay::placement
