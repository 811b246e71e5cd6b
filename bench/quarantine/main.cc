// Compares policies against requests that crash upstreams on simulated fleets,
// and measures what the knowledge of parts costs while nothing crashes.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>

#include "foxquay/core/digest.h"
#include "simulated_fleet.h"

namespace foxquay::quarantine {
namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr int kRepetitions = 200'000;

struct Size {
  int hosts;
  int controls;
  int upstreams;
  double rate;
};

constexpr std::array<Size, 3> kSizes{
    {{8, 3, 38, 57}, {60, 5, 99, 166}, {300, 5, 218, 310}}};
constexpr std::array<const char*, 4> kPolicies{"none", "alone", "route",
                                               "fleet"};

/// With `plain`, one request that crashes a service of three upstreams instead
/// of a part of prompts.
void ComparePolicies(bool plain) {
  std::printf("%s\n", plain ? "plain service" : "model");
  std::printf("hosts policy crashes late max_late sound_begun report_bytes\n");
  for (const Size& size : kSizes) {
    for (std::size_t policy = 0; policy < kPolicies.size(); ++policy) {
      FleetOptions options;
      options.policy = static_cast<Policy>(policy);
      options.hosts = size.hosts;
      options.controls = size.controls;
      options.upstreams = size.upstreams;
      options.sound_rate = size.rate;
      if (plain) {
        options.plain = true;
        options.upstreams = 3;
        options.sound_rate = 8;
        options.hot_share = 0.5;
      }
      double crashes = 0;
      double late = 0;
      double begun = 0;
      double bytes = 0;
      int max_late = 0;
      for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
        const FleetResult result = SimulatedFleet(options).Run();
        crashes += result.crashes;
        late += result.late;
        max_late = std::max(max_late, result.late);
        begun += static_cast<double>(result.sound_begun) / result.sound;
        bytes += static_cast<double>(result.report_bytes);
      }
      std::printf("%d %s %.1f %.1f %d %.3f %.0f\n", size.hosts,
                  kPolicies.at(policy), crashes / kSeeds, late / kSeeds,
                  max_late, begun / kSeeds, bytes / kSeeds);
    }
  }
}

/// Returns the mean time of `function` in nanoseconds.
template <class Function>
double Time(Function function) {
  const auto start = std::chrono::steady_clock::now();
  for (int count = 0; count < kRepetitions; ++count) function(count);
  const std::chrono::duration<double, std::nano> total =
      std::chrono::steady_clock::now() - start;
  return total.count() / kRepetitions;
}

void MeasureCost() {
  const core::ServiceId service("model");
  const core::WorkspaceId workspace("w");
  Recorder recorder;
  Gate gate;
  std::vector<Parts> prompts;
  for (std::size_t index = 0; index < kMaxRememberedParts; ++index) {
    prompts.push_back({core::PromptPartId("part-" + std::to_string(index))});
  }
  const auto now = core::Instant(std::chrono::seconds(1));
  const auto prompt = [&](int count) -> const Parts& {
    return prompts[static_cast<std::size_t>(count) % prompts.size()];
  };
  std::printf("answer recorded ns %.0f\n", Time([&](int count) {
                recorder.RecordAnswer(service, prompt(count), now);
              }));
  std::size_t found = 0;
  std::printf("gate passed ns %.0f\n", Time([&](int count) {
                found +=
                    gate.Find(service, workspace, prompt(count)) != nullptr;
              }));
  std::printf("report without evidence ns %.0f\n",
              Time([&](int) { found += recorder.Report(now).crashes.size(); }));
  for (const std::size_t size : {std::size_t{4096}, std::size_t{4} << 20U}) {
    const std::string body(size, 'x');
    found += core::Digest({body}).size();  // Loads the algorithm.
    const auto start = std::chrono::steady_clock::now();
    constexpr int kDigests = 20;
    for (int count = 0; count < kDigests; ++count) {
      found +=
          core::Digest({"workspace", "host", "POST", "/path", body}).size();
    }
    const std::chrono::duration<double, std::micro> total =
        std::chrono::steady_clock::now() - start;
    std::printf("digest of %zu bytes us %.1f\n", size,
                total.count() / kDigests);
  }
  std::printf("found %zu\n", found);
}

}  // namespace
}  // namespace foxquay::quarantine

int main() {
  foxquay::quarantine::ComparePolicies(false);
  foxquay::quarantine::ComparePolicies(true);
  foxquay::quarantine::MeasureCost();
  return 0;
}
