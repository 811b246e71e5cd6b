#ifndef FOXQUAY_TESTS_FOXQUAY_RELAY_RETRY_LIMIT_H_
#define FOXQUAY_TESTS_FOXQUAY_RELAY_RETRY_LIMIT_H_

#include <algorithm>
#include <vector>

#include "foxquay/relay/retry_budget.h"

namespace foxquay::relay {

/// Returns whether the retries in every window are within the limit. A window
/// counts with the most requests of itself, the one before and the one half a
/// window before. Times are in milliseconds, below 40,000; the window of
/// `options` is 10 s.
inline bool WithinLimit(const std::vector<int>& requests,
                        const std::vector<int>& retries,
                        const BudgetOptions& options) {
  const auto in = [](const std::vector<int>& times, int from) {
    return std::count_if(times.begin(), times.end(), [from](int ms) {
      return ms > from && ms <= from + 10000;
    });
  };
  for (int from = -10000; from < 30000; from += 500) {
    const auto most = std::max({in(requests, from), in(requests, from - 5000),
                                in(requests, from - 10000)});
    const double limit =
        options.ratio * static_cast<double>(most) + options.slack;
    if (static_cast<double>(in(retries, from)) > limit) return false;
  }
  return true;
}

}  // namespace foxquay::relay

#endif  // FOXQUAY_TESTS_FOXQUAY_RELAY_RETRY_LIMIT_H_
