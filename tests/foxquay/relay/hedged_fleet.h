#ifndef FOXQUAY_TESTS_FOXQUAY_RELAY_HEDGED_FLEET_H_
#define FOXQUAY_TESTS_FOXQUAY_RELAY_HEDGED_FLEET_H_

#include <functional>
#include <optional>
#include <vector>

namespace foxquay::relay {

/// When requests are sent a second time.
enum class HedgeMode {
  kOff,
  kFixedDelay,  ///< After 100 ms, to any other upstream, without a limit.
  kHedged,      ///< As HedgePolicy decides.
};

/// A load on hosts that send to three upstreams of one plain service. An answer
/// takes 20 ms and an exponentially distributed time of 5 ms on average, times
/// a factor. Times are in milliseconds from the start.
struct HedgeScenario {
  int hosts = 8;
  HedgeMode mode = HedgeMode::kOff;
  double ratio = 0.1;
  double per_host = 8;  ///< Requests a second that arrive at each host.
  int slots = 1000;     ///< Of each upstream.
  /// Factor on the time of an answer.
  std::function<double(int upstream, int ms)> slowness = [](int, int) {
    return 1.0;
  };
  /// Whether an upstream turns requests away.
  std::function<bool(int upstream, int ms)> sheds = [](int, int) {
    return false;
  };
  /// When every second host is lost with its requests.
  std::optional<int> hosts_lost_at;
};

/// What became of the requests that arrived after kHedgeWarmUp.
struct HedgeOutcome {
  std::vector<int> waits;         ///< Times to the answers, sorted.
  std::vector<int> hedges;        ///< When requests were sent a second time.
  std::vector<int> requests;      ///< When requests arrived, of the whole run.
  std::vector<int> hedges_to;     ///< Second sends by upstream.
  std::vector<int> most_of_host;  ///< Requests and second sends of the host
                                  ///< with the most second sends.
  int failed = 0;                 ///< Requests without an answer.
  int shed = 0;                   ///< Second sends that were turned away.

  /// Returns the time within which a fraction of the answers came.
  [[nodiscard]] int Quantile(double fraction) const;
  /// Returns the highest number of second sends beyond `ratio` of the requests
  /// within 10 s.
  [[nodiscard]] double MostBeyond(double ratio) const;
};

inline constexpr int kHedgeWarmUp = 10'000;  ///< Until the service is known.
inline constexpr int kHedgeEnd = 40'000;     ///< When arrivals end.

/// Plays a scenario on a virtual clock.
[[nodiscard]] HedgeOutcome Play(const HedgeScenario& scenario);

}  // namespace foxquay::relay

#endif  // FOXQUAY_TESTS_FOXQUAY_RELAY_HEDGED_FLEET_H_
