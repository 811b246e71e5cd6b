#ifndef FOXQUAY_GATEWAY_ANSWER_TIMES_H_
#define FOXQUAY_GATEWAY_ANSWER_TIMES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "foxquay/core/time.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::gateway {

/// Names a route, also after its configuration was replaced: host and path.
using RouteKey = std::pair<std::string, std::string>;

[[nodiscard]] RouteKey MakeRouteKey(const schema::Route& route);

/// Tracks within which time nine of ten requests of each route are answered
/// completely. The estimate rises and falls by a fraction of itself with each
/// sample, in proportion to the quantile (Robbins and Monro, 1951).
///
/// Not thread-safe; performs no I/O.
class AnswerTimes {
 public:
  /// Adds the time from the arrival of a request to the end of its answer.
  void Record(const RouteKey& route, core::Duration time);
  /// Returns the estimate for a route; nothing without samples.
  [[nodiscard]] std::optional<core::Duration> Usual(
      const RouteKey& route) const;

 private:
  std::map<RouteKey, core::Duration> usual_;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_ANSWER_TIMES_H_
