#include "arrivals.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "foxquay/scheduling/service_estimator.h"

namespace foxquay::bench {
namespace {

using std::chrono::seconds;

constexpr double kLongest = 1500;
constexpr double kShortestLong = 200;
constexpr double kTail = 1.1;  // Pareto exponent of long answers.

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

core::Duration FromSeconds(double value) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(value));
}

class Generator {
 public:
  explicit Generator(std::uint64_t seed) : random_(seed) {}

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  Arrival Request(double long_part) {
    Arrival arrival;
    const double large = Uniform(0, 1);
    arrival.workspace =
        "w" + std::to_string(large < 0.75 ? static_cast<int>(Uniform(0, 3))
                                          : static_cast<int>(Uniform(3, 10)));
    arrival.prompt_bytes = static_cast<std::uint32_t>(Uniform(200, 3000));
    if (Uniform(0, 1) < long_part) {
      MakeLong(arrival);
    } else {
      MakeShort(arrival);
    }
    return arrival;
  }

  static void SetShort(Arrival& arrival, double tokens) {
    arrival.tokens = static_cast<std::uint32_t>(tokens);
    arrival.max_tokens = 128;
    arrival.timeout = seconds(10);
  }

 private:
  void MakeShort(Arrival& arrival) {
    SetShort(arrival, Uniform(10, 64));
    if (Uniform(0, 1) < 0.2) {
      arrival.traffic_class = core::TrafficClass::kBatch;
      arrival.timeout = seconds(60);
    }
  }

  void MakeLong(Arrival& arrival) {
    const double tokens =
        kShortestLong / std::pow(Uniform(0, 1) + 1e-9, 1 / kTail);
    arrival.tokens = static_cast<std::uint32_t>(std::min(tokens, kLongest));
    arrival.max_tokens = arrival.tokens * 2;
    arrival.timeout = seconds(120);
    arrival.is_short = false;
    if (Uniform(0, 1) < 0.7) arrival.traffic_class = core::TrafficClass::kBatch;
  }

  std::mt19937_64 random_;
};

double MeanWork(const Load& load, const ServiceTime& service) {
  constexpr int kSamples = 20000;
  Generator generator(load.seed + 1);
  double sum = 0;
  for (int i = 0; i < kSamples; ++i) {
    sum += Seconds(Work(generator.Request(load.long_part), service));
  }
  return sum / kSamples;
}

}  // namespace

core::Duration Work(const Arrival& arrival,
                    const ServiceTime& service) noexcept {
  const double units = scheduling::PromptUnits(arrival.prompt_bytes);
  return FromSeconds(Seconds(service.prefill) * units) +
         service.token * arrival.tokens;
}

std::vector<Arrival> Generate(const Load& load, const ServiceTime& service) {
  const double rate = load.share * load.slots / MeanWork(load, service);
  // Times are drawn apart from contents, so that loads with and without long
  // requests have the same swings.
  Generator generator(load.seed);
  Generator contents(load.seed + 3);
  std::vector<Arrival> arrivals;
  double now = 0;
  double level = 1;
  double level_until = 0;
  while (true) {
    if (now >= level_until) {
      level = generator.Uniform(1 - load.swing, 1 + load.swing);
      level_until = now + generator.Uniform(2, 6);
    }
    const core::Duration at = FromSeconds(now);
    const bool crest =
        at >= load.crest_at && at < load.crest_at + load.crest_span;
    now += generator.Exponential(1 / (rate * level * (crest ? load.crest : 1)));
    if (FromSeconds(now) >= load.span) return arrivals;
    arrivals.push_back(contents.Request(load.long_part));
    arrivals.back().at = FromSeconds(now);
  }
}

void AddFlood(const Load& load, const std::string& workspace, double share,
              const ServiceTime& service, std::vector<Arrival>& arrivals) {
  Generator generator(load.seed + 2);
  double now = 0;
  while (true) {
    Arrival arrival;
    arrival.workspace = workspace;
    arrival.prompt_bytes = 500;
    Generator::SetShort(arrival, 40);
    now += generator.Exponential(Seconds(Work(arrival, service)) /
                                 (share * load.slots));
    if (FromSeconds(now) >= load.span) break;
    arrival.at = FromSeconds(now);
    arrivals.push_back(arrival);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

}  // namespace foxquay::bench
