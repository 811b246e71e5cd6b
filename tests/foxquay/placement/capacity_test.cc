#include "foxquay/placement/capacity.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace foxquay::placement {
namespace {

/// Four layers of 100 MB; a token takes 4 MB in all of them, 1 MB in each. A
/// request has 10 tokens.
schema::Engine SmallEngine(std::uint32_t slots) {
  schema::Engine engine;
  engine.slots = slots;
  engine.layers = 4;
  engine.layer_mb = 100;
  engine.token_memory_mb = 4;
  engine.usual_prompt = 10;
  engine.accelerators = {{"large", 1200, 1, 1}, {"small", 600, 1, 1}};
  return engine;
}

ModelUpstream Holding(const std::string& id, const std::string& kind,
                      Range layers, const std::string& centre = "a") {
  return {core::UpstreamId(id), core::DataCentreId(centre), kind, layers};
}

Capacity Measure(std::uint32_t slots,
                 const std::vector<ModelUpstream>& upstreams) {
  return MeasureCapacity(SmallEngine(slots), upstreams).front().capacity;
}

}  // namespace

// A large upstream with two layers keeps 1000 MB, nine tenths of which hold 45
// requests; a small one 400 MB and 18.
TEST_CASE("a chain holds what its scarcest stage holds") {
  const Capacity capacity =
      Measure(100, {Holding("1", "large", {0, 2}),
                    Holding("2", "small", {2, 4}), Holding("3", "large", {})});
  CHECK(capacity == Capacity{18, Limit::kMemory, 2});
}

TEST_CASE("a placement holds no more than its first stages have slots") {
  const std::vector<ModelUpstream> placed = {Holding("1", "large", {0, 2}),
                                             Holding("2", "large", {2, 4})};
  CHECK(Measure(10, placed) == Capacity{10, Limit::kSlots, 0});
  CHECK(Measure(45, placed).requests == 45);
}

TEST_CASE("a placement without one of the layers holds nothing") {
  const Capacity capacity = Measure(
      100, {Holding("1", "large", {0, 2}), Holding("2", "large", {3, 4})});
  CHECK(capacity == Capacity{0, Limit::kMissingLayer, 2});
}

// Guards against a figure that adds up chains although they cannot be mixed: a
// stage runs all its layers from where it is entered.
TEST_CASE("requests go from one copy to another where the layers allow it") {
  std::vector<ModelUpstream> placed = {
      Holding("1", "large", {0, 2}), Holding("2", "small", {2, 4}),
      Holding("3", "small", {0, 2}), Holding("4", "large", {2, 4})};
  CHECK(Measure(100, placed).requests == 63);
  placed[1].layers = {3, 4};
  // The small last stage is now entered by nobody.
  CHECK(Measure(100, placed).requests == 45);
}

TEST_CASE("data centres that cannot hold a copy count together") {
  const schema::Engine engine = SmallEngine(100);
  std::vector<ModelUpstream> placed = {Holding("1", "small", {0, 2}),
                                       Holding("2", "small", {2, 4})};
  placed[1].data_centre = core::DataCentreId("b");
  REQUIRE(MeasureCapacity(engine, placed).size() == 2);
  schema::Engine tight = engine;
  tight.layer_mb = 200;
  REQUIRE(MeasureCapacity(tight, placed).size() == 1);
  CHECK(MeasureCapacity(tight, placed)[0].capacity.requests > 0);
}

TEST_CASE("no placement holds more than the holders of any layer") {
  rc::check("the flow is within every cut", [] {
    const schema::Engine engine =
        SmallEngine(*rc::gen::inRange<std::uint32_t>(1, 60));
    std::vector<ModelUpstream> placed;
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    for (std::size_t at = 0; at < count; ++at) {
      const auto first = *rc::gen::inRange<std::uint32_t>(0, 4);
      const auto end = *rc::gen::inRange<std::uint32_t>(first, 5);
      placed.push_back(Holding(std::to_string(at),
                               *rc::gen::element("large", "small"),
                               {first, end}));
    }
    const std::uint32_t requests = Measure(engine.slots, placed).requests;
    for (std::uint32_t layer = 0; layer < engine.layers; ++layer) {
      double room = 0;
      for (const ModelUpstream& upstream : placed) {
        const Range held = upstream.layers;
        if (layer < held.first || layer >= held.end) continue;
        room += kUsableMemoryFraction *
                TokensThatFit(engine, upstream.accelerator, held.size()) /
                UsualTokens(engine);
      }
      RC_ASSERT(requests <= room);
    }
  });
}

}  // namespace foxquay::placement
