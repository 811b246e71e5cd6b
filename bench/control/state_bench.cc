// Measures the time to apply a change, to save and restore a snapshot and to
// end an incarnation, at the sizes that the design document plans for.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <utility>

#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace {

constexpr int kDailyChanges = 28'000;

std::string Encoded(const schema::ControlCommand& command) {
  return schema::Encode(command);
}

void Change(State& state) {
  const std::uint64_t revision = state.config().revision();
  schema::SetDefault change;
  change.header = {"change-" + std::to_string(revision), revision, "operator"};
  change.key = "retry.budget";
  change.value = static_cast<std::int64_t>(revision % 100);
  state.Apply(state.index() + 1, {}, Encoded(change));
}

State WithChanges(std::int64_t changes) {
  State state;
  for (std::int64_t change = 0; change < changes; ++change) Change(state);
  return state;
}

void ApplyChange(benchmark::State& run) {
  State state = WithChanges(kDailyChanges);
  for ([[maybe_unused]] auto step : run) Change(state);
}
BENCHMARK(ApplyChange);

void Save(benchmark::State& run) {
  const State state = WithChanges(run.range(0));
  std::size_t bytes = 0;
  for ([[maybe_unused]] auto step : run) bytes = state.Snapshot().size();
  run.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(Save)
    ->Arg(kDailyChanges)
    ->Arg(kMaxHistory)
    ->Unit(benchmark::kMillisecond);

void Restore(benchmark::State& run) {
  const std::string bytes = WithChanges(run.range(0)).Snapshot();
  for ([[maybe_unused]] auto step : run) {
    benchmark::DoNotOptimize(State::FromSnapshot(bytes));
  }
}
BENCHMARK(Restore)
    ->Arg(kDailyChanges)
    ->Arg(kMaxHistory)
    ->Unit(benchmark::kMillisecond);

void EndIncarnation(benchmark::State& run) {
  State state;
  std::uint64_t incarnation = 1;
  const core::HostId host("host");
  state.Apply(1, {}, Encoded(schema::RegisterHost{host, incarnation, {}}));
  schema::Claim claim;
  claim.owner = {host, incarnation, 0};
  for (std::size_t key = 0; key < kMaxClaims; ++key) {
    claim.owner.attempt = key;
    claim.key = "80000." + std::to_string(key);
    state.Apply(state.index() + 1, {}, Encoded(claim));
  }
  run.counters["claims"] = static_cast<double>(state.claims().size());
  for ([[maybe_unused]] auto step : run) {
    state.Apply(state.index() + 1, {},
                Encoded(schema::RegisterHost{host, ++incarnation, {}}));
  }
}
BENCHMARK(EndIncarnation)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace foxquay::control

BENCHMARK_MAIN();
