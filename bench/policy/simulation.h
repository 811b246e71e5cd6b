#ifndef FOXQUAY_BENCH_POLICY_SIMULATION_H_
#define FOXQUAY_BENCH_POLICY_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "arrivals.h"
#include "foxquay/dispatch/engine.h"

namespace foxquay::bench {

/// A fault of an upstream during a run; times are since the start.
struct Fault {
  enum class Kind : std::uint8_t {
    kFail,    ///< Legs end with an error; new ones fail until `until`.
    kSilent,  ///< Legs produce nothing until `until`.
    kSlow,    ///< Prefill and tokens take ten times as long until `until`.
  };
  Kind kind = Kind::kFail;
  std::size_t upstream = 0;
  core::Duration at{};
  core::Duration until{};
};

/// Settings of a run.
struct Setup {
  std::uint64_t seed = 1;
  std::size_t engines = 1;
  std::size_t upstreams = 10;
  std::uint32_t slots = 8;
  ServiceTime service;
  core::Duration duration{};
  std::vector<Fault> faults;
  std::vector<std::pair<schema::PolicyKey, std::int64_t>> policy;
  /// Whether engines see one workspace and class, so that the queue is FIFO.
  bool one_flow = false;
  /// Whether engines see deadlines; else callers leave at theirs.
  bool deadlines = true;
};

/// Result of a request.
struct Result {
  std::optional<core::Duration> first_token;  ///< Since its arrival.
  std::optional<core::Duration> finished;     ///< Since the start.
  core::Duration longest_gap{};               ///< Between two tokens.
  bool hit_by_fault =
      false;  ///< Whether a leg ran on an upstream as a fault began.
  std::optional<core::Duration>
      resume_gap;  ///< Between the tokens before and after the fault.
  core::Outcome outcome = core::Outcome::kNotRun;
  std::optional<core::Duration> retry_after;
  bool abandoned = false;  ///< Whether its caller left at the deadline.
};

/// A leg sent to an upstream.
struct SentLeg {
  core::Duration at{};
  std::size_t upstream = 0;
};

/// Results of a run.
struct Report {
  std::vector<Result> results;  ///< In the order of the arrivals.
  std::vector<SentLeg> legs;
  core::Duration busy{};  ///< Time in use, summed over slots, within the run.
  /// Legs at each upstream, sampled every 100 ms.
  std::vector<std::vector<std::uint32_t>> loads;
};

/// Runs engines with a load and simulated upstreams on a virtual clock.
class Simulation {
 public:
  Simulation(Setup setup, std::vector<Arrival> arrivals);

  /// Runs for the duration of the setup; must be called once at most.
  [[nodiscard]] Report Run();

 private:
  using Step = std::function<void()>;
  struct ScheduledStep {
    core::Instant at;
    std::uint64_t number = 0;
    Step step;
    bool operator<(const ScheduledStep& other) const noexcept {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct RunningLeg {
    std::size_t engine = 0;
    core::LegId id;
    std::uint64_t epoch = 0;
    std::size_t arrival = 0;
    std::size_t upstream = 0;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    core::Instant slot_since;
    bool has_slot = false;
  };
  /// A simulated upstream: slots, a FIFO of legs that wait for one, and a
  /// fault.
  struct Upstream {
    std::uint32_t used_slots = 0;
    std::deque<std::uint64_t> waiting;
    std::vector<std::uint64_t> legs;
    std::optional<Fault::Kind> fault;
  };

  /// Runs `step` at a virtual time, after earlier ones of the same time.
  void Schedule(core::Instant at, Step step);
  void Handle(std::size_t engine, const dispatch::Event& event);
  void Perform(std::size_t engine, const dispatch::Action& action);
  void ScheduleTick(std::size_t engine);
  void Arrive(std::size_t index);
  void Announce();
  void SampleLoads();
  void ApplyFault(const Fault& fault, bool begins);

  void Start(std::size_t engine, const dispatch::StartLeg& leg);
  void TakeSlot(std::uint64_t key);
  void Produce(std::uint64_t key);
  void End(std::uint64_t key, dispatch::LegEnd end);
  [[nodiscard]] core::Duration ServiceDuration(
      const Upstream& upstream, core::Duration duration) const noexcept;

  Setup setup_;
  std::vector<Arrival> arrivals_;
  core::Instant now_;
  core::Instant end_;
  std::priority_queue<ScheduledStep> schedule_;
  std::uint64_t next_number_ = 0;
  std::vector<std::unique_ptr<dispatch::Engine>> engines_;
  std::vector<core::Instant> next_tick_;
  std::vector<Upstream> upstreams_;
  std::unordered_map<std::uint64_t, RunningLeg> legs_;
  std::vector<core::Instant> last_token_;
  std::uint64_t sequence_ = 0;
  Report report_;
};

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_POLICY_SIMULATION_H_
