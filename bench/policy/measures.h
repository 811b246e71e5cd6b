#ifndef FOXQUAY_BENCH_POLICY_MEASURES_H_
#define FOXQUAY_BENCH_POLICY_MEASURES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace foxquay::bench {

/// Policy that a setting of the engine replaces by its baseline.
enum class Baseline : std::uint8_t {
  kNone,
  kFifo,         ///< One flow, no legs, no deadlines: first in, first out.
  kNoAdmission,  ///< Nothing is refused; callers leave at their deadline.
  kNoResume,     ///< A retry budget of zero.
};

/// One measured figure.
struct Figure {
  std::string name;
  std::string unit;
  double value = 0;
};

/// Measures everything that a baseline affects.
[[nodiscard]] std::vector<Figure> Measure(std::uint64_t seed,
                                          Baseline baseline);

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_POLICY_MEASURES_H_
