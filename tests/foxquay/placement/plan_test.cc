#include "foxquay/placement/plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "engines.h"

namespace foxquay::placement {
namespace {

std::vector<Holder> MakeHolders(const std::string& centre, int large,
                                int small) {
  std::vector<Holder> holders;
  const auto add = [&](const std::string& kind, int count) {
    for (int at = 0; at < count; ++at) {
      const std::string id = centre + "-" + kind + std::to_string(10 + at);
      holders.push_back(
          {core::UpstreamId(id), core::DataCentreId(centre), kind, {}});
    }
  };
  add("large", large);
  add("small", small);
  return holders;
}

void Apply(std::vector<Holder>& holders,
           const std::vector<Assignment>& changes) {
  for (const Assignment& change : changes) {
    const auto found = std::find_if(
        holders.begin(), holders.end(),
        [&](const Holder& holder) { return holder.id == change.id; });
    found->layers = change.layers;
  }
}

bool Whole(const std::vector<Holder>& holders, const std::string& centre) {
  std::vector<bool> held(80, false);
  for (const Holder& holder : holders) {
    if (holder.data_centre.value() != centre) continue;
    for (std::uint32_t at = holder.layers.first; at < holder.layers.end; ++at) {
      held[at] = true;
    }
  }
  return std::find(held.begin(), held.end(), false) == held.end();
}

void CheckFits(const std::vector<Holder>& holders) {
  const schema::Engine engine = MakeEngine();
  for (const Holder& holder : holders) {
    CHECK(holder.layers.size() <= LayersThatFit(engine, holder.accelerator, 0));
  }
}

std::vector<Holder> Laid() {
  std::vector<Holder> holders = MakeHolders("a", 2, 8);
  const std::vector<Holder> other = MakeHolders("b", 1, 10);
  holders.insert(holders.end(), other.begin(), other.end());
  Apply(holders, Plan(MakeEngine(), holders));
  return holders;
}

}  // namespace

TEST_CASE("each data centre gets a whole copy that fits") {
  const std::vector<Holder> holders = Laid();
  CHECK(Whole(holders, "a"));
  CHECK(Whole(holders, "b"));
  CheckFits(holders);
}

// Guards against one copy spread over so many upstreams that no request may
// name its way, with memory left for further copies; seen with 35 upstreams in
// a data centre and a bound of 32 stages.
TEST_CASE("a large data centre gets several copies of short chains") {
  schema::Engine engine = MakeEngine();
  engine.max_stages = 32;
  std::vector<Holder> holders = MakeHolders("a", 12, 24);
  Apply(holders, Plan(engine, holders));
  std::vector<unsigned> held(80, 0);
  std::size_t starts = 0;
  for (const Holder& holder : holders) {
    if (!holder.layers.empty() && holder.layers.first == 0) ++starts;
    for (std::uint32_t at = holder.layers.first; at < holder.layers.end; ++at) {
      ++held[at];
    }
  }
  const unsigned copies = *std::min_element(held.begin(), held.end());
  CHECK(copies > 1);
  CHECK(starts == copies);
  CHECK(holders.size() / copies <= engine.max_stages);
  CheckFits(holders);

  // A lost stage of one copy is placed again on an empty upstream alone.
  const auto lost = std::find_if(
      holders.begin(), holders.end(),
      [](const Holder& holder) { return holder.layers.first > 0; });
  const Range range = lost->layers;
  holders.erase(lost);
  const std::vector<Assignment> changes = Plan(engine, holders);
  REQUIRE_FALSE(changes.empty());
  for (const Assignment& change : changes) {
    CHECK(change.layers.first >= range.first);
    CHECK(change.layers.end <= range.end);
  }
  Apply(holders, changes);
  CHECK(Plan(engine, holders).empty());
}

TEST_CASE("a plan that is in force changes nothing") {
  const std::vector<Holder> holders = Laid();
  CHECK(Plan(MakeEngine(), holders).empty());
}

// A lost stage makes every chain of its data centre useless.
TEST_CASE("a lost stage is placed again with its data centre alone moving") {
  for (std::size_t lost = 0; lost < 10; ++lost) {
    std::vector<Holder> holders = Laid();
    holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(lost));
    const std::vector<Assignment> changes = Plan(MakeEngine(), holders);
    Apply(holders, changes);
    CHECK(Whole(holders, "a"));
    CheckFits(holders);
    for (const Assignment& change : changes) {
      CHECK(change.id.value().front() == 'a');
    }
  }
}

TEST_CASE("a restarted upstream takes up the layers that are missing") {
  std::vector<Holder> holders = Laid();
  const Range lost = holders[3].layers;
  holders[3].layers = {};
  const std::vector<Assignment> changes = Plan(MakeEngine(), holders);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == Assignment{holders[3].id, lost});
}

TEST_CASE("no order takes all layers from an upstream") {
  for (std::size_t first = 0; first < 9; ++first) {
    std::vector<Holder> holders = Laid();
    const auto at = holders.begin() + static_cast<std::ptrdiff_t>(first);
    holders.erase(at, at + 2);
    for (const Assignment& change : Plan(MakeEngine(), holders)) {
      CHECK_FALSE(change.layers.empty());
    }
  }
}

TEST_CASE("no layers are ordered that cannot make a whole copy") {
  CHECK(Plan(MakeEngine(), MakeHolders("a", 1, 2)).empty());
}

}  // namespace foxquay::placement
