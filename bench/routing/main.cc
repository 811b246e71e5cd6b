// Measures the time of routing decisions for several numbers of upstreams.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

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
  return {core::ModelId("m0"), "", std::nullopt, {}, {}};
}

/// Finds a chain while all upstreams have free slots.
void FindChain(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  const routing::Query query = SampleQuery();
  for ([[maybe_unused]] auto step : state) {
    auto found = router.Find(query, kNow);
    if (!std::holds_alternative<routing::Plan>(found)) {
      state.SkipWithError("no chain found");
      break;
    }
    benchmark::DoNotOptimize(found);
  }
}

/// Searches for a chain while no upstream has a free slot: the longest search.
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

/// Applies a list of upstreams in which only the reported loads have changed.
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

/// Removes one upstream from the list, or adds it again, and finds a chain of
/// its model.
void ReplaceMember(benchmark::State& state) {
  routing::Router router = SampleRouter(state);
  const auto fleet = Fleet(static_cast<std::size_t>(state.range(0)),
                           static_cast<std::size_t>(state.range(1)));
  const std::vector<schema::Announcement> fewer(fleet.begin() + 1, fleet.end());
  const routing::Query query = SampleQuery();
  bool all_present = true;
  for ([[maybe_unused]] auto step : state) {
    all_present = !all_present;
    router.Replace(all_present ? fleet : fewer);
    auto found = router.Find(query, kNow);
    benchmark::DoNotOptimize(found);
  }
}

/// Runs streams on accelerators of which each kind is 1.3 times as slow as the
/// one before it; reports the mean time between tokens, with or without
/// learning from measured times.
void Speeds(benchmark::State& state) {
  constexpr std::size_t kStreams = 200;
  routing::Router router({core::DataCentreId("d0"), {}, 1});
  const auto fleet = Fleet(500, 2);
  router.Replace(fleet);
  std::unordered_map<std::string, double> layer_seconds;
  for (const schema::Announcement& announced : fleet) {
    layer_seconds[announced.id.value()] =
        100e-6 * std::pow(1.3, announced.accelerator.back() - '0');
  }
  const routing::Query query = SampleQuery();
  std::deque<routing::Chain> running;
  core::Instant now = kNow;
  double sum = 0;
  double samples = 0;
  for ([[maybe_unused]] auto step : state) {
    const auto plan = std::get<routing::Plan>(router.Find(query, now));
    std::vector<routing::StageUse> uses;
    double gap = 0;
    for (const routing::Stage& stage : plan.chain) {
      const std::uint32_t layers = stage.layers.last - stage.layers.first + 1;
      uses.push_back({stage.upstream, layers});
      router.BeginWork(stage.upstream);
      gap += layers * layer_seconds.at(stage.upstream.value()) *
             router.upstreams().Find(stage.upstream)->Slowdown();
    }
    const auto stages_time = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(gap));
    if (state.range(0) != 0) router.upstreams().Learn(uses, stages_time, now);
    running.push_back(plan.chain);
    now += std::chrono::milliseconds(10);
    if (running.size() <= kStreams) continue;
    for (const routing::Stage& stage : running.front()) {
      router.EndWork(stage.upstream);
    }
    running.pop_front();
    if (++samples <= 2000) continue;
    sum += gap + std::chrono::duration<double>(plan.link_time).count();
  }
  state.counters["token_ms"] = 1000 * sum / std::max(1.0, samples - 2000);
}

/// LRU cache of the prompt prefixes that ran on one upstream.
class PrefixCache {
 public:
  /// Returns whether the prefix was cached, and makes it the most recent.
  bool Use(std::size_t prefix) {
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool hit = found != prefixes_.end();
    if (hit) prefixes_.erase(found);
    prefixes_.push_front(prefix);
    if (prefixes_.size() > kCapacity) prefixes_.pop_back();
    return hit;
  }

 private:
  static constexpr std::size_t kCapacity = 16;
  std::deque<std::size_t> prefixes_;
};

/// Runs prompts with 400 shared prefixes of Zipf-distributed frequency; reports
/// the share of layers whose cache holds the prefix, and the load of the
/// busiest upstream relative to the mean, with or without prefix affinity.
void Affinity(benchmark::State& state) {
  constexpr std::size_t kStreams = 400;
  constexpr std::size_t kPrefixes = 400;
  routing::Router router({core::DataCentreId("d0"), {}, 1});
  router.Replace(Fleet(500, 2));
  std::vector<double> weights(kPrefixes);
  for (std::size_t i = 0; i < kPrefixes; ++i) {
    weights[i] = 1.0 / static_cast<double>(i + 1);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  std::mt19937_64 random(1);
  std::unordered_map<std::string, PrefixCache> caches;
  std::deque<routing::Chain> running;
  routing::Query query = SampleQuery();
  double hits = 0;
  double layers = 0;
  double busiest = 0;
  double samples = 0;
  for ([[maybe_unused]] auto step : state) {
    const std::size_t prefix = pick(random);
    const auto hashes = routing::PrefixHashes(
        std::to_string(prefix) + std::string(1024, 'p'), "m0");
    if (state.range(0) != 0) query.prefixes = hashes;
    const auto plan = std::get<routing::Plan>(router.Find(query, kNow));
    if (state.range(0) != 0) router.RecordPrefixes(hashes, plan.chain);
    for (const routing::Stage& stage : plan.chain) {
      const double held = stage.layers.last - stage.layers.first + 1;
      layers += held;
      if (caches[stage.upstream.value()].Use(prefix)) hits += held;
      router.BeginWork(stage.upstream);
    }
    running.push_back(plan.chain);
    if (running.size() <= kStreams) continue;
    for (const routing::Stage& stage : running.front()) {
      router.EndWork(stage.upstream);
    }
    running.pop_front();
    if (++samples < 2000) hits = layers = busiest = 0;
    double largest = 0;
    double sum = 0;
    double count = 0;
    for (const routing::Upstream& upstream : router.upstreams().All()) {
      largest = std::max<double>(largest, upstream.in_flight);
      sum += upstream.in_flight;
      if (upstream.in_flight > 0) ++count;
    }
    busiest += largest * count / sum;
  }
  state.counters["hits"] = hits / layers;
  state.counters["busiest"] = busiest / std::max(1.0, samples - 1999);
}

/// Numbers of upstreams and models: the planned sizes, then a single model.
void Sizes(benchmark::internal::Benchmark* run) {
  run->Args({50, 1})->Args({500, 2})->Args({10000, 37});
  run->Args({500, 1})->Args({10000, 1});
  run->ArgNames({"upstreams", "models"})->Unit(benchmark::kMicrosecond);
}

BENCHMARK(Speeds)->Arg(0)->Arg(1)->ArgName("learn")->Iterations(10000);
BENCHMARK(Affinity)->Arg(0)->Arg(1)->ArgName("affinity")->Iterations(20000);
BENCHMARK(FindChain)->Apply(Sizes);
BENCHMARK(FindNoChain)->Apply(Sizes);
BENCHMARK(ReplaceLoads)->Apply(Sizes);
BENCHMARK(ReplaceMember)->Apply(Sizes);

}  // namespace
}  // namespace foxquay::bench
