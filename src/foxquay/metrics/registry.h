#ifndef FOXQUAY_METRICS_REGISTRY_H_
#define FOXQUAY_METRICS_REGISTRY_H_

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/metrics/fwd.h"

namespace foxquay::metrics {

/// Durations recorded for each workspace and traffic class.
enum class Series : std::uint8_t {
  kWait,           ///< From arrival to the first dispatch.
  kFirstToken,     ///< From arrival to the first token.
  kBetweenTokens,  ///< Between two tokens of one response.
  kTotal,          ///< From arrival to the end of the request.
};

inline constexpr std::size_t kSeriesCount = 4;

/// Workspaces that have their own histograms; those that come later share the
/// histograms of a workspace named "other".
inline constexpr std::size_t kMaxWorkspaces = 8192;

/// Workspaces that the full exposition lists; the rest are added up as "other".
inline constexpr std::size_t kExposedWorkspaces = 200;

/// Collects the histograms, counters and gauges of one process. Thread-safe.
class Registry {
 public:
  /// Records one duration of a series.
  void Record(Series series, const core::WorkspaceId& workspace,
              core::TrafficClass traffic_class, core::Duration duration);

  /// Adds to a counter; `labels` is empty or `name="value",...`, escaped.
  void Add(std::string_view counter, std::string_view labels,
           std::uint64_t amount = 1);

  /// Sets a gauge.
  void Set(std::string_view gauge, double value);

  /// Returns all metrics in the Prometheus text format. Lists the
  /// kExposedWorkspaces workspaces with the most requests and adds up the rest.
  [[nodiscard]] std::string Expose() const;

  /// Returns the histograms of one workspace in the Prometheus text format.
  [[nodiscard]] std::string Expose(const core::WorkspaceId& workspace) const;

 private:
  using Axis = boost::histogram::axis::variable<>;
  using Histogram = boost::histogram::histogram<
      std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;

  struct Distribution {
    Distribution();
    Histogram histogram;
    double sum_seconds = 0;
    std::uint64_t count = 0;
    void Merge(const Distribution& other);
  };
  using Distributions = std::array<Distribution, kSeriesCount>;
  using Key = std::pair<core::WorkspaceId, core::TrafficClass>;

  static void AppendHistograms(std::string& out, const Key& key,
                               const Distributions& distributions);

  mutable std::mutex mutex_;
  std::map<Key, Distributions> distributions_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
};

}  // namespace foxquay::metrics

#endif  // FOXQUAY_METRICS_REGISTRY_H_
