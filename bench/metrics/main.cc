// Prints the memory of the metrics registry, the size of its exposition and the
// time to record a value, for several numbers of workspaces.
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include "foxquay/metrics/registry.h"

namespace {

std::int64_t ResidentKilobytes() {
  std::ifstream in("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  in >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE) / 1024;
}

void Measure(int workspaces) {
  using foxquay::core::TrafficClass;
  using foxquay::metrics::Series;
  const std::int64_t before = ResidentKilobytes();
  foxquay::metrics::Registry registry;
  const auto started = std::chrono::steady_clock::now();
  int records = 0;
  for (int index = 0; index < workspaces; ++index) {
    const foxquay::core::WorkspaceId workspace("workspace-" +
                                               std::to_string(index));
    for (const auto traffic_class :
         {TrafficClass::kInteractive, TrafficClass::kBatch}) {
      for (const auto series : {Series::kWait, Series::kFirstToken,
                                Series::kBetweenTokens, Series::kTotal}) {
        registry.Record(series, workspace, traffic_class,
                        std::chrono::milliseconds(index % 1000));
        ++records;
      }
    }
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - started;
  std::cout << workspaces << " workspaces: " << ResidentKilobytes() - before
            << " KB, " << taken.count() / records << " us a record, exposition "
            << registry.Expose().size() / 1024 << " KB\n";
}

}  // namespace

int main() {
  for (const int workspaces : {10, 100, 1000, 6600}) Measure(workspaces);
  return EXIT_SUCCESS;
}
