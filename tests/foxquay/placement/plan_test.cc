#include "foxquay/placement/plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "engines.h"

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

void Apply(std::vector<ModelUpstream>& upstreams,
           const std::vector<Assignment>& changes) {
  for (const Assignment& change : changes) {
    const auto found = std::find_if(upstreams.begin(), upstreams.end(),
                                    [&](const ModelUpstream& upstream) {
                                      return upstream.id == change.id;
                                    });
    found->layers = change.layers;
  }
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
  std::vector<unsigned> held(80, 0);
  std::size_t starts = 0;
  for (const ModelUpstream& upstream : upstreams) {
    if (!upstream.layers.empty() && upstream.layers.first == 0) ++starts;
    for (std::uint32_t at = upstream.layers.first; at < upstream.layers.end;
         ++at) {
      ++held[at];
    }
  }
  const unsigned copies = *std::min_element(held.begin(), held.end());
  CHECK(copies > 1);
  CHECK(starts == copies);
  CHECK(upstreams.size() / copies <= engine.max_stages);
  CheckFits(upstreams);

  // A lost stage of one copy is replaced by empty upstreams only.
  const auto lost = std::find_if(
      upstreams.begin(), upstreams.end(),
      [](const ModelUpstream& upstream) { return upstream.layers.first > 0; });
  const Range range = lost->layers;
  upstreams.erase(lost);
  const std::vector<Assignment> changes = Plan(engine, upstreams);
  REQUIRE_FALSE(changes.empty());
  for (const Assignment& change : changes) {
    CHECK(change.layers.first >= range.first);
    CHECK(change.layers.end <= range.end);
  }
  Apply(upstreams, changes);
  CHECK(Plan(engine, upstreams).empty());
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

TEST_CASE("no layers are assigned if a complete copy does not fit") {
  CHECK(Plan(MakeEngine(), MakeUpstreams("a", 1, 2)).empty());
}

}  // namespace foxquay::placement
