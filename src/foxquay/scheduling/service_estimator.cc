#include "foxquay/scheduling/service_estimator.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace foxquay::scheduling {
namespace {

// Half of the design's bounds for 95 % of requests, which are 0.54 s to the
// first token and 36 ms between tokens; half of a bound is a usual value.
constexpr double kInitialFirstTokenSeconds = 0.27;
constexpr double kInitialTokenSeconds = 0.018;
// Pools and classes kept: several times the 37 models and some services of the
// design size, with two classes each.
constexpr std::size_t kMaxRates = 512;
// As many, with about eight sizes of answers each.
constexpr std::size_t kMaxAnswerFractions = 4096;
// Least weight of a new sample in a mean.
constexpr double kMinWeight = 1.0 / 16;
constexpr double kBytesPerUnit = 1024;

double Seconds(core::Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double PromptUnits(std::uint32_t prompt_bytes) noexcept {
  return 1.0 + static_cast<double>(prompt_bytes) / kBytesPerUnit;
}

void ServiceEstimator::Mean::Add(double sample) noexcept {
  ++samples;
  const double weight = std::max(kMinWeight, 1.0 / samples);
  value += (sample - value) * weight;
}

void ServiceEstimator::Rates::Add(const LegShape& shape,
                                  const LegTiming& timing) noexcept {
  first_token.Add(Seconds(timing.first_token) /
                  PromptUnits(shape.prompt_bytes));
  if (timing.tokens < 2) return;
  token.Add(Seconds(timing.total - timing.first_token) / (timing.tokens - 1));
}

ServiceEstimator::ServiceEstimator()
    : rates_(kMaxRates), answer_fractions_(kMaxAnswerFractions) {
  mean_.first_token.value = kInitialFirstTokenSeconds;
  mean_.token.value = kInitialTokenSeconds;
}

ServiceEstimator::Rates ServiceEstimator::InitialRates() const noexcept {
  Rates rates = mean_;
  rates.first_token.samples = 0;
  rates.token.samples = 0;
  return rates;
}

const ServiceEstimator::Rates& ServiceEstimator::Find(const Key& key) const {
  const Rates* rates = rates_.Find(key);
  return rates == nullptr ? mean_ : *rates;
}

core::Duration ServiceEstimator::EstimateLeg(const PoolId& pool,
                                             core::TrafficClass traffic_class,
                                             const LegShape& shape) const {
  const Rates& rates = Find({pool, traffic_class});
  const double further_tokens = shape.tokens > 1 ? shape.tokens - 1 : 0;
  const double seconds =
      rates.first_token.value * PromptUnits(shape.prompt_bytes) +
      rates.token.value * further_tokens;
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(seconds));
}

std::uint32_t ServiceEstimator::EstimateTokens(const PoolId& pool,
                                               core::TrafficClass traffic_class,
                                               std::uint32_t max_tokens) const {
  const Mean* fraction =
      answer_fractions_.Find({pool, traffic_class, std::bit_width(max_tokens)});
  if (fraction == nullptr) return max_tokens;
  const double tokens = std::ceil(fraction->value * max_tokens);
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(tokens),
                                   std::min(1U, max_tokens), max_tokens);
}

void ServiceEstimator::LearnLeg(const PoolId& pool,
                                core::TrafficClass traffic_class,
                                const LegShape& shape,
                                const LegTiming& timing) {
  if (timing.tokens == 0) return;
  rates_.GetOrCreate({pool, traffic_class}, InitialRates()).Add(shape, timing);
  mean_.Add(shape, timing);
}

void ServiceEstimator::LearnAnswer(const PoolId& pool,
                                   core::TrafficClass traffic_class,
                                   std::uint32_t max_tokens,
                                   std::uint32_t produced) {
  if (max_tokens == 0) return;
  const double fraction = static_cast<double>(produced) / max_tokens;
  answer_fractions_
      .GetOrCreate({pool, traffic_class, std::bit_width(max_tokens)}, Mean{})
      .Add(fraction);
}

}  // namespace foxquay::scheduling
