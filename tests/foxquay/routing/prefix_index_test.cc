#include "foxquay/routing/prefix_index.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace {

constexpr core::Instant kNow{std::chrono::seconds(1000)};

Router SampleRouter() {
  std::vector<schema::Announcement> announced(20);
  for (std::size_t i = 0; i < announced.size(); ++i) {
    announced[i].id = core::UpstreamId("u" + std::to_string(i));
    announced[i].model = core::ModelId("drafter");
    announced[i].layers = {0, 7};
    announced[i].model_layers = 8;
    announced[i].slots = 100;
  }
  Router router({core::DataCentreId(), {}, 3});
  router.Replace(announced);
  return router;
}

Chain FindChain(Router& router, const Query& query) {
  return std::get<Plan>(router.Find(query, kNow)).chain;
}

}  // namespace

// Guards against different hashes for prompts that share cached blocks, and
// against equal hashes for prompts that do not.
TEST_CASE("prompts with equal first blocks have equal hashes for them") {
  const std::string start(1024, 'a');
  const auto a = PrefixHashes(start + std::string(512, 'b'), "m");
  const auto b = PrefixHashes(start + std::string(512, 'c') + "tail", "m");
  REQUIRE(a.size() == 3);
  REQUIRE(b.size() == 3);
  CHECK(a[1] == b[1]);
  CHECK(a[2] != b[2]);
  CHECK(PrefixHashes(start, "other")[0] != a[0]);
  CHECK(PrefixHashes("short", "m").empty());
}

// Guards against memory that grows with the prompts seen.
TEST_CASE("the index evicts the least recently used prefix") {
  PrefixIndex prefixes(3);
  for (std::uint64_t hash = 1; hash <= 10; ++hash) {
    prefixes.Add({hash}, {static_cast<UpstreamIndex>(hash)});
    prefixes.Add({1}, {0});
  }
  CHECK(prefixes.size() == 3);
  CHECK(prefixes.Find({1}).at(0) == 0);
  CHECK(prefixes.Find({2}).empty());
  CHECK(prefixes.Find({1, 10, 11}).at(0) == 10);
}

// Guards against cache affinity that is ignored, that overloads an upstream, or
// that chooses a closed one.
TEST_CASE("a prompt returns to its cache within the load bound") {
  Router router = SampleRouter();
  const Query query{core::ModelId("drafter"), "", std::nullopt, {}, {42}};
  const Chain first = FindChain(router, query);
  router.RecordPrefixes(query.prefixes, first);
  const core::UpstreamId holder = first.front().upstream;
  SECTION("near the mean") {
    for (int i = 0; i < 20; ++i) CHECK(FindChain(router, query) == first);
  }
  SECTION("overloaded") {
    for (int i = 0; i < 10; ++i) router.BeginWork(holder);
    for (int i = 0; i < 20; ++i) CHECK(FindChain(router, query) != first);
  }
  SECTION("closed") {
    router.upstreams().Find(holder)->enabled = false;
    for (int i = 0; i < 20; ++i) CHECK(FindChain(router, query) != first);
  }
}

}  // namespace foxquay::routing
