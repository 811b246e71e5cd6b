#include "foxquay/membership/control_outage.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace foxquay::membership {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

std::vector<core::HostId> Controls(int count) {
  std::vector<core::HostId> controls;
  controls.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) controls.emplace_back(std::to_string(i));
  return controls;
}

/// Control hosts, the losses that they tolerate, and how many have to be down
/// so that no quorum is left, whichever of them vote.
struct Case {
  int controls;
  std::size_t tolerated;
  std::size_t needed;
};

}  // namespace

TEST_CASE("control hosts without a quorum can acknowledge no configuration") {
  const Case sizes = GENERATE(Case{3, 1, 2}, Case{5, 2, 3}, Case{6, 2, 4});
  const auto controls = Controls(sizes.controls);
  ControlOutage outage;
  outage.SetControls(controls, sizes.tolerated);
  for (std::size_t i = 0; i < sizes.needed; ++i) {
    CHECK_FALSE(outage.ConfigurationAsOf());
    const core::Instant at = At(1000 + static_cast<int>(i) * 250);
    if (i % 2 == 0) {
      outage.RecordRefusal(controls[i], at);
    } else {
      outage.RecordStart(controls[i], at);
    }
  }
  // The oldest evidence counts.
  CHECK(outage.ConfigurationAsOf() == At(1000));
  // Any control host that runs may acknowledge the leave of an upstream.
  CHECK_FALSE(outage.UpstreamsAsOf());
  for (const core::HostId& control : controls) {
    outage.RecordRefusal(control, At(2000));
  }
  CHECK(outage.UpstreamsAsOf() == At(2000));
}

// Guards against control hosts that restart one after the other, between which
// changes are acknowledged, and are taken for an outage.
TEST_CASE("control hosts that restart in turn are no evidence of an outage") {
  const auto controls = Controls(5);
  ControlOutage outage;
  outage.SetControls(controls, 2);
  SECTION("as each is back before the next one") {
    for (int i = 0; i < 5; ++i) {
      outage.RecordRefusal(controls.at(i), At(i * 500));
      outage.RecordReply(controls.at(i));
    }
    CHECK_FALSE(outage.ConfigurationAsOf());
  }
  SECTION("as they were not down at the same time") {
    for (int i = 0; i < 5; ++i) {
      outage.RecordRefusal(controls.at(i), At(i * 1000));
    }
    CHECK_FALSE(outage.ConfigurationAsOf());
  }
  SECTION("as a change was made meanwhile") {
    for (int i = 0; i < 5; ++i) outage.RecordRefusal(controls.at(i), At(0));
    REQUIRE(outage.ConfigurationAsOf());
    outage.Clear();
    CHECK_FALSE(outage.ConfigurationAsOf());
    CHECK_FALSE(outage.UpstreamsAsOf());
  }
}

// Busy control hosts answer late or not at all; a change that they acknowledge
// meanwhile has to be in force.
TEST_CASE("silent control hosts are no evidence of an outage") {
  const auto controls = Controls(5);
  ControlOutage outage;
  outage.SetControls(controls, 2);
  outage.RecordRefusal(controls[0], At(10'000));
  outage.RecordRefusal(controls[1], At(10'000));
  CHECK_FALSE(outage.ConfigurationAsOf());
}

TEST_CASE("control hosts that are gone do not count") {
  const auto controls = Controls(3);
  ControlOutage outage;
  CHECK_FALSE(outage.ConfigurationAsOf());
  outage.SetControls(controls, 1);
  outage.RecordRefusal(controls[0], At(100));
  outage.RecordRefusal(controls[1], At(200));
  REQUIRE(outage.ConfigurationAsOf() == At(100));
  outage.SetControls({controls[1], controls[2]}, 0);
  CHECK_FALSE(outage.ConfigurationAsOf());
  outage.RecordRefusal(controls[0], At(300));
  CHECK_FALSE(outage.ConfigurationAsOf());
}

}  // namespace foxquay::membership
