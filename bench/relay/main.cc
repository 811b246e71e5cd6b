// Compares what is done for entry hosts that are cut off from all upstreams on
// simulated fleets.
#include <array>
#include <chrono>
#include <cstdio>

#include "cut_fleet.h"

namespace foxquay::relay {
namespace {

constexpr std::uint64_t kSeeds = 5;
constexpr std::array<const char*, 3> kPolicies{"none", "directory", "relay"};

struct Size {
  std::size_t hosts;
  std::size_t cut;
  double rate;
};

constexpr std::array<Size, 3> kSizes{
    {{8, 5, 57}, {60, 36, 166}, {300, 180, 310}}};

double Percent(std::size_t part, std::size_t whole) {
  return whole == 0
             ? 100
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

void Compare(const Size& size, bool hang) {
  for (std::size_t policy = 0; policy < kPolicies.size(); ++policy) {
    CutFleetResult sum;
    double added_ms = 0;
    CutFleetOptions options;
    options.policy = static_cast<CutPolicy>(policy);
    options.hosts = size.hosts;
    options.cut = size.cut;
    options.rate = size.rate;
    options.hang = hang;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const CutFleetResult result = CutFleet(options).Run();
      sum.sent_at_cut += result.sent_at_cut;
      sum.served_at_cut += result.served_at_cut;
      sum.sent_at_others += result.sent_at_others;
      sum.served_at_others += result.served_at_others;
      sum.sent_after += result.sent_after;
      sum.served_after += result.served_after;
      sum.relayed += result.relayed;
      added_ms +=
          std::chrono::duration<double, std::milli>(result.added_time).count();
    }
    std::printf("%zu %s %s %.1f of %zu, %.1f of %zu, %.1f, %zu, %.1f\n",
                size.hosts, hang ? "hang" : "refused", kPolicies.at(policy),
                Percent(sum.served_at_cut, sum.sent_at_cut), sum.sent_at_cut,
                Percent(sum.served_at_others, sum.sent_at_others),
                sum.sent_at_others, Percent(sum.served_after, sum.sent_after),
                sum.relayed, added_ms / kSeeds);
  }
}

}  // namespace
}  // namespace foxquay::relay

int main() {
  std::printf(
      "hosts connections policy; %% served at cut hosts, at others, at cut "
      "hosts after the cut; relayed; added ms\n");
  for (const auto& size : foxquay::relay::kSizes) {
    foxquay::relay::Compare(size, false);
    foxquay::relay::Compare(size, true);
  }
  return 0;
}
