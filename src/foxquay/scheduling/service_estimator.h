#ifndef FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_
#define FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_

#include <cstdint>
#include <tuple>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"
#include "foxquay/scheduling/lru_map.h"

namespace foxquay::scheduling {

/// Size of a leg as known before it runs.
struct LegShape {
  std::uint32_t prompt_bytes = 0;
  std::uint32_t tokens = 0;
};

/// What a leg took.
struct LegTiming {
  core::Duration first_token = core::Duration::zero();
  core::Duration total = core::Duration::zero();
  std::uint32_t tokens = 0;  ///< Tokens produced.
};

/// Estimates the service time of legs, per pool and class.
///
/// A pool without samples starts from the mean of all pools, and a process
/// without samples from fixed values. Keeps a bounded number of pools. Not
/// thread-safe.
class ServiceEstimator {
 public:
  ServiceEstimator();

  /// Returns the estimated service time of a leg.
  [[nodiscard]] core::Duration EstimateLeg(const PoolId& pool,
                                           core::TrafficClass traffic_class,
                                           const LegShape& shape) const;

  /// Returns the expected length of an answer limited to `max_tokens`.
  [[nodiscard]] std::uint32_t EstimateTokens(const PoolId& pool,
                                             core::TrafficClass traffic_class,
                                             std::uint32_t max_tokens) const;

  /// Learns from a leg that ended by itself.
  void LearnLeg(const PoolId& pool, core::TrafficClass traffic_class,
                const LegShape& shape, const LegTiming& timing);

  /// Learns from a complete answer.
  void LearnAnswer(const PoolId& pool, core::TrafficClass traffic_class,
                   std::uint32_t max_tokens, std::uint32_t produced);

 private:
  /// Mean with exponentially decreasing weights; exact over the first samples.
  struct Mean {
    double value = 0;
    std::uint32_t samples = 0;
    void Add(double sample) noexcept;
  };

  struct Rates {
    Mean first_token;  ///< Seconds per prompt unit.
    Mean token;        ///< Seconds per further token.
    void Add(const LegShape& shape, const LegTiming& timing) noexcept;
  };

  /// Returns rates with the mean's values that adapt to their first samples.
  [[nodiscard]] Rates InitialRates() const noexcept;

  using Key = std::pair<PoolId, core::TrafficClass>;
  /// Pool, class and binary logarithm of the allowed tokens: callers allow
  /// similar lengths for similar work.
  using AnswerKey = std::tuple<PoolId, core::TrafficClass, int>;

  [[nodiscard]] const Rates& Find(const Key& key) const;

  internal::LruMap<Key, Rates> rates_;
  internal::LruMap<AnswerKey, Mean> answer_fractions_;  ///< Produced part.
  Rates mean_;
};

/// Returns the size of a prompt in units that scale its time to first token: a
/// fixed part and one unit per KiB.
[[nodiscard]] double PromptUnits(std::uint32_t prompt_bytes) noexcept;

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_SERVICE_ESTIMATOR_H_
