#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "simulated_fleet.h"

namespace foxquay::quarantine {
namespace {

/// Requests with a part that may reach upstreams once it is known.
constexpr int kMaxLate = 3;
constexpr std::uint64_t kSeeds = 8;

/// Returns the fleets of 8, 60 and 300 hosts.
std::vector<FleetOptions> Sizes() {
  std::vector<FleetOptions> sizes(3);
  sizes[1].hosts = 60;
  sizes[1].controls = 5;
  sizes[1].upstreams = 99;
  sizes[1].sound_rate = 166;
  sizes[2].hosts = 300;
  sizes[2].controls = 5;
  sizes[2].upstreams = 218;
  sizes[2].sound_rate = 310;
  return sizes;
}

/// Plays all sizes and seeds and checks the bounds.
void CheckBounds(const std::function<void(FleetOptions&)>& change) {
  for (FleetOptions options : Sizes()) {
    change(options);
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CAPTURE(options.hosts, options.seed);
      const FleetResult result = SimulatedFleet(options).Run();
      CHECK(result.late <= kMaxLate * options.bad_parts);
      CHECK(result.sound_begun * 2 >= result.sound);
      CHECK(result.sound_refused == 0);
    }
  }
}

}  // namespace

TEST_CASE("a fleet keeps a part that crashes upstreams away from them") {
  CheckBounds([](FleetOptions&) {});
}

TEST_CASE("a crashing part that comes first is known as well") {
  CheckBounds([](FleetOptions& options) { options.bad_subjects = 0; });
}

TEST_CASE("a crashing part is known if all its prompts begin alike") {
  CheckBounds([](FleetOptions& options) { options.bad_subjects = 1; });
}

TEST_CASE("two crashing parts at a time are known") {
  CheckBounds([](FleetOptions& options) {
    options.bad_parts = 2;
    options.bad_rate = 5;
  });
}

TEST_CASE("a crashing part is known although the leader is lost meanwhile") {
  CheckBounds([](FleetOptions& options) { options.lose_leader = true; });
}

TEST_CASE("a crashing part stays known when all hosts restart") {
  CheckBounds([](FleetOptions& options) { options.restart_all = true; });
}

// Guards against a part that is never known because each answer to it begins
// before it crashes the next upstream.
TEST_CASE("a part that crashes upstreams after its first event is known") {
  const auto after =
      GENERATE(std::chrono::milliseconds(100), std::chrono::milliseconds(1300));
  CAPTURE(after.count());
  CheckBounds([after](FleetOptions& options) { options.crash_after = after; });
}

TEST_CASE("a part that crashes upstreams late is known beside other ends") {
  CheckBounds([](FleetOptions& options) {
    options.crash_after = std::chrono::milliseconds(100);
    options.kills_per_second = options.upstreams / 30.0;
  });
}

// A service of three upstreams that is down for seconds whenever one request
// has ended all of them, a hot request that everybody sends beside it.
TEST_CASE("a fleet keeps a request that crashes a small service away from it") {
  CheckBounds([](FleetOptions& options) {
    options.plain = true;
    options.upstreams = 3;
    options.sound_rate = 8;
    options.hot_share = 0.5;
  });
}

TEST_CASE("two requests that crash a small service are known") {
  CheckBounds([](FleetOptions& options) {
    options.plain = true;
    options.upstreams = 3;
    options.sound_rate = 8;
    options.hot_share = 0.5;
    options.bad_parts = 2;
    options.bad_rate = 4;
  });
}

TEST_CASE("a crashing request is known although the leader is lost meanwhile") {
  CheckBounds([](FleetOptions& options) {
    options.plain = true;
    options.upstreams = 3;
    options.sound_rate = 8;
    options.lose_leader = true;
  });
}

// Of a hot request, several copies run whenever upstreams end.
TEST_CASE("no request is refused when upstreams end for other reasons") {
  const bool rack = GENERATE(false, true);
  for (FleetOptions options : Sizes()) {
    options.plain = true;
    options.upstreams = 3;
    options.bad_rate = 1e-9;
    options.hot_share = 0.8;
    options.kills_per_second = rack ? 0 : 0.5;
    options.rack_loss_interval = rack ? 6 : 0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CAPTURE(rack, options.hosts, options.seed);
      const FleetResult result = SimulatedFleet(options).Run();
      CHECK(result.quarantines == 0);
      CHECK(result.sound_refused == 0);
    }
  }
}

// Upstreams that end for other reasons cut off many requests at their begin.
TEST_CASE("no part is suspected when upstreams end for other reasons") {
  for (FleetOptions options : Sizes()) {
    options.bad_rate = 1e-9;
    options.kills_per_second = options.upstreams / 12.0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CAPTURE(options.hosts, options.seed);
      const FleetResult result = SimulatedFleet(options).Run();
      CHECK(result.quarantines == 0);
      CHECK(result.sound_refused == 0);
      // An answer is given up only if it has met several of them.
      CHECK(result.sound_cut * 100 <= result.sound);
    }
  }
}

// Guards against sound parts that are refused because the loss of a rack cuts
// off all answers to them at once.
TEST_CASE("no part is suspected when racks are lost") {
  for (FleetOptions options : Sizes()) {
    options.bad_rate = 1e-9;
    options.rack_loss_interval = 6;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      CAPTURE(options.hosts, options.seed);
      const FleetResult result = SimulatedFleet(options).Run();
      CHECK(result.quarantines == 0);
      CHECK(result.sound_refused == 0);
      CHECK(result.sound_cut == 0);
    }
  }
}

TEST_CASE("a crashing part is known while upstreams end for other reasons") {
  CheckBounds([](FleetOptions& options) {
    options.kills_per_second = options.upstreams / 30.0;
  });
}

}  // namespace foxquay::quarantine
