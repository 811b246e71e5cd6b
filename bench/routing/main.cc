// Measures the decision time of routing against the number of upstreams.
#include <benchmark/benchmark.h>

#include <chrono>

#include "fleet.h"
#include "foxquay/routing/router.h"

namespace foxquay::bench {
namespace {

constexpr core::Instant kNow{std::chrono::seconds(1000)};

routing::Router SampleRouter(const benchmark::State& state) {
  routing::Router router({core::DataCentreId("d0"), {}, 1});
  router.Replace(Fleet(static_cast<std::size_t>(state.range(0)),
                       static_cast<std::size_t>(state.range(1))));
  return router;
}

routing::Query SampleQuery() {
  return {core::ModelId("m0"), "", std::nullopt, {}};
}

/// Finds a chain while all upstreams have room.
void FindChain(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  const routing::Query query = SampleQuery();
  for ([[maybe_unused]] auto step : state) {
    auto found = router.Find(query, kNow);
    if (!std::holds_alternative<routing::Plan>(found)) {
      state.SkipWithError("no chain");
      break;
    }
    benchmark::DoNotOptimize(found);
  }
}

/// Looks for a chain while all upstreams are full: the longest search.
void FindNoChain(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  for (routing::Upstream& upstream : router.upstreams().All()) {
    upstream.limit = 0;
  }
  const routing::Query query = SampleQuery();
  for ([[maybe_unused]] auto step : state) {
    auto found = router.Find(query, kNow);
    benchmark::DoNotOptimize(found);
  }
}

/// Applies a list in which only reported loads changed.
void ReplaceLoads(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  auto fleet = Fleet(static_cast<std::size_t>(state.range(0)),
                     static_cast<std::size_t>(state.range(1)));
  std::uint32_t load = 0;
  for ([[maybe_unused]] auto step : state) {
    ++load;
    for (schema::Announcement& announced : fleet) announced.load = load % 4;
    router.Replace(fleet);
  }
}

/// Applies a list that lacks one upstream, or has it again, and finds a chain
/// of the changed model.
void ReplaceMember(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  const auto fleet = Fleet(static_cast<std::size_t>(state.range(0)),
                           static_cast<std::size_t>(state.range(1)));
  const std::vector<schema::Announcement> fewer(fleet.begin() + 1, fleet.end());
  const routing::Query query = SampleQuery();
  bool whole = true;
  for ([[maybe_unused]] auto step : state) {
    whole = !whole;
    router.Replace(whole ? fleet : fewer);
    auto found = router.Find(query, kNow);
    benchmark::DoNotOptimize(found);
  }
}

/// Numbers of upstreams and of models: as planned, then all of one model.
void Sizes(benchmark::internal::Benchmark* run) {
  run->Args({50, 1})->Args({500, 2})->Args({10000, 37});
  run->Args({500, 1})->Args({10000, 1});
  run->ArgNames({"upstreams", "models"})->Unit(benchmark::kMicrosecond);
}

BENCHMARK(FindChain)->Apply(Sizes);
BENCHMARK(FindNoChain)->Apply(Sizes);
BENCHMARK(ReplaceLoads)->Apply(Sizes);
BENCHMARK(ReplaceMember)->Apply(Sizes);

}  // namespace
}  // namespace foxquay::bench
