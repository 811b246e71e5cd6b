// Measures how many events per second one engine handles on one core.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/dispatch/engine.h"
#include "routing/fleet.h"

namespace foxquay::bench {
namespace {

constexpr core::Instant kStart{std::chrono::seconds(1000)};
/// Concurrent streams of one host at the planned size.
constexpr std::uint64_t kStreams = 1240;
constexpr std::uint32_t kAnswerTokens = 260;

/// A constant number of streams that produce tokens in round-robin order; a new
/// stream replaces each one that ends.
class Load {
 public:
  Load(std::size_t upstreams, std::size_t models)
      : models_(models),
        engine_({core::HostId("h"), core::DataCentreId("d0"), 1}) {
    auto fleet = Fleet(upstreams, models);
    // Slots for all streams, whatever the number of upstreams.
    for (schema::Announcement& announced : fleet) {
      announced.slots = static_cast<std::uint32_t>(
          std::max<std::size_t>(16, 20 * kStreams / upstreams));
    }
    Handle(dispatch::UpstreamsChanged{std::move(fleet)});
    for (std::uint64_t i = 0; i < kStreams; ++i) Submit();
  }

  /// Produces the next token of the next stream; returns the number of events
  /// handled, 0 if no stream runs.
  std::uint64_t Step() {
    if (legs_.empty()) return 0;
    const std::uint64_t before = events_;
    now_ += std::chrono::microseconds(29);  // 34,000 tokens/s.
    Leg leg = legs_.front();
    legs_.pop_front();
    Handle(dispatch::LegToken{leg.id, leg.epoch, leg.next, "token"});
    ++leg.next;
    if (leg.next < leg.end) {
      legs_.push_back(leg);
      return events_ - before;
    }
    const bool complete = leg.next == kAnswerTokens;
    Handle(dispatch::LegEnded{
        leg.id, complete ? dispatch::LegEnd::kLength : dispatch::LegEnd::kChunk,
        std::nullopt});
    if (complete) Submit();
    return events_ - before;
  }

  [[nodiscard]] std::size_t running() const noexcept { return legs_.size(); }

 private:
  struct Leg {
    core::LegId id;
    std::uint64_t epoch = 0;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
  };

  void Submit() {
    dispatch::Submission submission;
    submission.id = core::RequestId(++requests_);
    submission.workspace =
        core::WorkspaceId("w" + std::to_string(requests_ % 10));
    submission.work = dispatch::Completion{
        core::ModelId("m" + std::to_string(requests_ % models_)), "", "",
        std::string(400, 'p'), kAnswerTokens};
    Handle(dispatch::Arrived{std::move(submission)});
  }

  void Handle(const dispatch::Event& event) {
    ++events_;
    for (const dispatch::Action& action : engine_.Handle(event, now_)) {
      if (const auto* start = std::get_if<dispatch::StartLeg>(&action)) {
        legs_.push_back({start->leg, start->epoch, start->first_token,
                         start->first_token + start->count});
      }
    }
  }

  std::size_t models_;
  dispatch::Engine engine_;
  core::Instant now_ = kStart;
  std::uint64_t requests_ = 0;
  std::uint64_t events_ = 0;
  std::deque<Leg> legs_;
};

/// Streams tokens in legs of 64 tokens; reports events per second.
void Stream(benchmark::State& state) {
  Load load(static_cast<std::size_t>(state.range(0)),
            static_cast<std::size_t>(state.range(1)));
  std::uint64_t events = 0;
  for ([[maybe_unused]] auto step : state) {
    const std::uint64_t handled = load.Step();
    if (handled == 0) {
      state.SkipWithError("no leg is running");
      break;
    }
    events += handled;
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(events));
  state.counters["running"] = static_cast<double>(load.running());
}

/// Applies a list of upstreams in which only reported loads changed.
void ApplyUpstreams(benchmark::State& state) {
  dispatch::Engine engine({core::HostId("h"), core::DataCentreId("d0"), 1});
  dispatch::Event event = dispatch::UpstreamsChanged{
      Fleet(static_cast<std::size_t>(state.range(0)),
            static_cast<std::size_t>(state.range(1)))};
  auto& upstreams = std::get<dispatch::UpstreamsChanged>(event).upstreams;
  std::uint32_t load = 0;
  for ([[maybe_unused]] auto step : state) {
    ++load;
    for (auto& announced : upstreams) announced.load = load % 4;
    auto actions = engine.Handle(event, kStart);
    benchmark::DoNotOptimize(actions);
  }
}

BENCHMARK(ApplyUpstreams)
    ->Args({500, 2})
    ->Args({10000, 37})
    ->ArgNames({"upstreams", "models"})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(Stream)
    ->Args({50, 1})
    ->Args({500, 2})
    ->Args({10000, 37})
    ->Args({10000, 1})
    ->ArgNames({"upstreams", "models"})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace foxquay::bench
