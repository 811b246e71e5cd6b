#include "arrivals.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "foxquay/scheduling/service_estimator.h"

namespace foxquay::bench {
namespace {

using std::chrono::seconds;

constexpr double kMaxLongTokens = 1500;
constexpr double kMinLongTokens = 200;
constexpr double kParetoExponent = 1.1;  // Pareto exponent of long answers.

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

  Arrival DrawRequest(double long_share) {
    Arrival arrival;
    const double workspace_draw = Uniform(0, 1);
    arrival.workspace =
        "w" + std::to_string(workspace_draw < 0.75
                                 ? static_cast<int>(Uniform(0, 3))
                                 : static_cast<int>(Uniform(3, 10)));
    arrival.prompt_bytes = static_cast<std::uint32_t>(Uniform(200, 3000));
    if (Uniform(0, 1) < long_share) {
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
        kMinLongTokens / std::pow(Uniform(0, 1) + 1e-9, 1 / kParetoExponent);
    arrival.tokens =
        static_cast<std::uint32_t>(std::min(tokens, kMaxLongTokens));
    arrival.max_tokens = arrival.tokens * 2;
    arrival.timeout = seconds(120);
    arrival.is_short = false;
    if (Uniform(0, 1) < 0.7) arrival.traffic_class = core::TrafficClass::kBatch;
  }

  std::mt19937_64 random_;
};

double MeanSlotTime(const Load& load, const ServiceTime& service) {
  constexpr int kSamples = 20000;
  Generator generator(load.seed + 1);
  double sum = 0;
  for (int i = 0; i < kSamples; ++i) {
    sum += Seconds(SlotTime(generator.DrawRequest(load.long_share), service));
  }
  return sum / kSamples;
}

}  // namespace

core::Duration SlotTime(const Arrival& arrival,
                        const ServiceTime& service) noexcept {
  const double units = scheduling::PromptUnits(arrival.prompt_bytes);
  return FromSeconds(Seconds(service.prefill) * units) +
         service.token * arrival.tokens;
}

std::vector<Arrival> Generate(const Load& load, const ServiceTime& service) {
  const double rate = load.share * load.slots / MeanSlotTime(load, service);
  // Times and contents come from two generators, so that loads with and without
  // long requests have the same variation of the rate.
  Generator generator(load.seed);
  Generator content_generator(load.seed + 3);
  std::vector<Arrival> arrivals;
  double now = 0;
  double rate_level = 1;
  double rate_level_until = 0;
  while (true) {
    if (now >= rate_level_until) {
      rate_level =
          generator.Uniform(1 - load.rate_variation, 1 + load.rate_variation);
      rate_level_until = now + generator.Uniform(2, 6);
    }
    const core::Duration at = FromSeconds(now);
    const bool in_peak =
        at >= load.peak_at && at < load.peak_at + load.peak_duration;
    now += generator.Exponential(
        1 / (rate * rate_level * (in_peak ? load.peak_factor : 1)));
    if (FromSeconds(now) >= load.duration) return arrivals;
    arrivals.push_back(content_generator.DrawRequest(load.long_share));
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
    now += generator.Exponential(Seconds(SlotTime(arrival, service)) /
                                 (share * load.slots));
    if (FromSeconds(now) >= load.duration) break;
    arrival.at = FromSeconds(now);
    arrivals.push_back(arrival);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

}  // namespace foxquay::bench
