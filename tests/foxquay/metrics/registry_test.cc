#include "foxquay/metrics/registry.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace foxquay::metrics {

using std::chrono::milliseconds;

TEST_CASE("buckets are cumulative and end with the count") {
  Registry registry;
  const core::WorkspaceId quotes("quotes");
  for (const int ms : {3, 30, 300, 100000}) {
    registry.Record(Series::kTotal, quotes, core::TrafficClass::kInteractive,
                    milliseconds(ms));
  }
  const std::string text = registry.Expose();
  const std::string labels = "{workspace=\"quotes\",class=\"interactive\"";
  CHECK(text.find("foxquay_total_seconds_bucket" + labels +
                  ",le=\"0.005\"} 1\n") != std::string::npos);
  CHECK(text.find("foxquay_total_seconds_bucket" + labels +
                  ",le=\"60\"} 3\n") != std::string::npos);
  CHECK(text.find("foxquay_total_seconds_bucket" + labels +
                  ",le=\"+Inf\"} 4\n") != std::string::npos);
}

// Guards against output that grows with the number of workspaces.
TEST_CASE("the exposition is bounded and counts every request") {
  Registry registry;
  constexpr int kWorkspaces = 6600;
  for (int index = 0; index < kWorkspaces; ++index) {
    registry.Record(Series::kTotal,
                    core::WorkspaceId("w" + std::to_string(index)),
                    core::TrafficClass::kBatch, milliseconds(1));
  }
  const std::string text = registry.Expose();
  CHECK(std::count(text.begin(), text.end(), '\n') <
        20 * 2 * static_cast<int>(kExposedWorkspaces) + 200);
  CHECK(text.find("foxquay_total_seconds_count{workspace=\"other\",class="
                  "\"batch\"} 6200\n") != std::string::npos);
  CHECK_FALSE(registry.Expose(core::WorkspaceId("w6599")).empty());
}

// Guards against workspace names that break the Prometheus text format.
TEST_CASE("label values are escaped") {
  Registry registry;
  registry.Record(Series::kWait, core::WorkspaceId("a\"b"),
                  core::TrafficClass::kBatch, milliseconds(1));
  CHECK(registry.Expose().find("workspace=\"a\\\"b\"") != std::string::npos);
}

}  // namespace foxquay::metrics
