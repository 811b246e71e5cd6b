#include "cut_fleet.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace foxquay::relay {
namespace {

constexpr std::uint64_t kSeeds = 4;

/// Returns the fleets of 8, 60 and 300 hosts of which more than half are cut
/// off.
std::vector<CutFleetOptions> Sizes() {
  std::vector<CutFleetOptions> sizes(3);
  sizes[1].hosts = 60;
  sizes[1].cut = 36;
  sizes[1].rate = 166;
  sizes[2].hosts = 300;
  sizes[2].cut = 180;
  sizes[2].rate = 310;
  return sizes;
}

double Share(std::size_t served, std::size_t sent) {
  return sent == 0 ? 1
                   : static_cast<double>(served) / static_cast<double>(sent);
}

}  // namespace

TEST_CASE(
    "callers of a fleet's cut hosts are served like those of the others") {
  const bool hang = GENERATE(false, true);
  for (CutFleetOptions options : Sizes()) {
    options.hang = hang;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CAPTURE(hang, options.hosts, options.seed);
      const CutFleetResult result = CutFleet(options).Run();
      const double at_cut = Share(result.served_at_cut, result.sent_at_cut);
      const double at_others =
          Share(result.served_at_others, result.sent_at_others);
      const std::size_t failed = result.sent_at_cut - result.served_at_cut;
      const std::size_t sent = result.sent_at_cut + result.sent_at_others;
      CHECK((at_cut >= at_others * 2 / 3 || failed <= 10 + sent / 50));
      CHECK(at_others >= 0.95);
      CHECK(Share(result.served_after, result.sent_after) >= 0.95);
      CHECK(result.false_cuts == 0);
    }
  }
}

// A release or a crash of a whole service is no cut that others could help.
TEST_CASE("requests are passed on once at most when all upstreams have ended") {
  for (CutFleetOptions options : Sizes()) {
    options.all_end = true;
    const CutFleetResult result = CutFleet(options).Run();
    CAPTURE(options.hosts, result.relayed);
    CHECK(static_cast<double>(result.relayed) <= 2 * options.rate);
    CHECK(Share(result.served_after, result.sent_after) >= 0.95);
  }
}

}  // namespace foxquay::relay
