#ifndef FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_
#define FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_

#include <cstdint>
#include <tuple>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/lru_map.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Size of a leg, as far as it is known before the leg runs.
struct LegShape {
  std::uint32_t prompt_bytes = 0;
  std::uint32_t tokens = 0;  ///< Expected number of tokens.
};

/// Measured times of a leg, from its start.
struct LegTiming {
  core::Duration first_token = core::Duration::zero();
  core::Duration total = core::Duration::zero();
  std::uint32_t tokens = 0;  ///< Tokens produced.
};

/// Estimates the service time of legs and the length of answers, for each pool
/// and class.
///
/// A pool without samples starts from the mean over all pools, and that mean
/// starts from fixed values. Keeps a bounded number of pools, those used last.
/// Not thread-safe.
class ServiceEstimator {
 public:
  ServiceEstimator();

  /// Returns the estimated service time of a leg.
  [[nodiscard]] core::Duration EstimateLeg(const PoolId& pool,
                                           core::TrafficClass traffic_class,
                                           const LegShape& shape) const;

  /// Returns the expected tokens of an answer that is limited to `max_tokens`;
  /// `max_tokens` itself without samples.
  [[nodiscard]] std::uint32_t EstimateTokens(const PoolId& pool,
                                             core::TrafficClass traffic_class,
                                             std::uint32_t max_tokens) const;

  /// Adds a sample from a leg that ended without a failure or cancellation.
  /// Ignored if the leg produced no token.
  void LearnLeg(const PoolId& pool, core::TrafficClass traffic_class,
                const LegShape& shape, const LegTiming& timing);

  /// Adds a sample from a complete answer of `produced` tokens. Ignored if
  /// `max_tokens` is 0.
  void LearnAnswer(const PoolId& pool, core::TrafficClass traffic_class,
                   std::uint32_t max_tokens, std::uint32_t produced);

 private:
  /// Exponentially weighted mean; the plain mean over the first samples.
  struct Mean {
    double value = 0;
    std::uint32_t samples = 0;
    void Add(double sample) noexcept;
  };

  /// Mean latencies of one pool and class.
  struct Rates {
    Mean first_token;  ///< Seconds per prompt unit.
    Mean token;        ///< Seconds per further token.
    void Add(const LegShape& shape, const LegTiming& timing) noexcept;
  };

  /// Returns the rates for a new pool: the values of `mean_`, which the first
  /// sample replaces.
  [[nodiscard]] Rates InitialRates() const noexcept;

  using Key = std::pair<PoolId, core::TrafficClass>;
  /// Pool, class and bit width of the allowed tokens: callers allow similar
  /// lengths for similar work.
  using AnswerKey = std::tuple<PoolId, core::TrafficClass, int>;

  /// Returns the rates of a pool and class, or `mean_` if there are none.
  [[nodiscard]] const Rates& Find(const Key& key) const;

  core::LruMap<Key, Rates> rates_;
  /// Mean length of answers, as a part of max_tokens.
  core::LruMap<AnswerKey, Mean> answer_fractions_;
  Rates mean_;  ///< Over all pools and classes.
};

/// Returns the size of a prompt in units to which the time to first token is
/// assumed proportional: one fixed unit plus one per KiB.
[[nodiscard]] double PromptUnits(std::uint32_t prompt_bytes) noexcept;

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_
