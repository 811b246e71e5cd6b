#ifndef FOXQUAY_BENCH_POLICY_MEASURES_H_
#define FOXQUAY_BENCH_POLICY_MEASURES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace foxquay::bench {

/// Baseline that settings of the engine select in place of a policy.
enum class Baseline : std::uint8_t {
  kNone,
  kFifo,         ///< One queue, undivided answers, no deadlines.
  kNoAdmission,  ///< No request is refused; callers leave at their deadline.
  kNoResume,     ///< A retry budget of zero.
};

/// One measured figure.
struct Figure {
  std::string name;
  std::string unit;
  double value = 0;
};

/// Runs every experiment and returns its figures, in a fixed order.
[[nodiscard]] std::vector<Figure> Measure(std::uint64_t seed,
                                          Baseline baseline);

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_POLICY_MEASURES_H_
