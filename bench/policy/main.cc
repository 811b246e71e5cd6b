#include <cstdlib>
#include <iostream>
#include <string_view>

#include "measures.h"

namespace {

using foxquay::bench::Baseline;

constexpr std::uint64_t kSeed = 20261203;

Baseline Parse(std::string_view name) {
  if (name == "fifo") return Baseline::kFifo;
  if (name == "no-admission") return Baseline::kNoAdmission;
  if (name == "no-resume") return Baseline::kNoResume;
  return Baseline::kNone;
}

}  // namespace

/// Prints one line for each figure: name, unit and value, separated by tabs.
///
/// bench_policy [BASELINE] [SEED]
int main(int argc, char** argv) {
  const Baseline baseline = argc > 1 ? Parse(argv[1]) : Baseline::kNone;
  const std::uint64_t seed =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : kSeed;
  for (const auto& figure : foxquay::bench::Measure(seed, baseline)) {
    std::cout << figure.name << '\t' << figure.unit << '\t' << figure.value
              << '\n';
  }
  return 0;
}
