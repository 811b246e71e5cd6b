#include "foxquay/membership/control_outage.h"

#include <catch2/catch.hpp>
#include <string>

namespace foxquay::membership {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

std::vector<core::HostId> Controls(int count) {
  std::vector<core::HostId> controls;
  for (int i = 0; i < count; ++i) controls.emplace_back(std::to_string(i));
  return controls;
}

}  // namespace

TEST_CASE("a majority without a leader can acknowledge nothing") {
  const auto controls = Controls(GENERATE(3, 5, 6));
  const std::size_t majority = controls.size() / 2 + 1;
  ControlOutage outage;
  outage.SetControls(controls);
  CHECK_FALSE(outage.AsOf());
  for (std::size_t i = 0; i < majority; ++i) {
    CHECK_FALSE(outage.AsOf());
    const int at = 1000 + static_cast<int>(i) * 250;
    switch (i % 3) {
      case 0:
        outage.RecordReply(controls[i], milliseconds(1100), At(at));
        break;
      case 1:
        outage.RecordReply(controls[i], std::nullopt, At(at));
        break;
      default:
        outage.RecordRefusal(controls[i], At(at));
    }
  }
  // The oldest evidence of the majority counts.
  CHECK(outage.AsOf() == At(1000));
  outage.RecordRefusal(controls[0], At(4000));
  CHECK(outage.AsOf() == At(1250));
}

// Busy control hosts confirm with ages below a second, or do not answer; a
// change that they acknowledge meanwhile has to be in force.
TEST_CASE("busy and silent control hosts are no evidence of an outage") {
  const auto controls = Controls(5);
  ControlOutage outage;
  outage.SetControls(controls);
  for (int ms = 0; ms < 10'000; ms += 250) {
    for (const core::HostId& control : controls) {
      outage.RecordReply(control, milliseconds(630 + ms % 300), At(ms));
    }
  }
  CHECK_FALSE(outage.AsOf());
  // Two of five are down, the others silent.
  outage.RecordRefusal(controls[0], At(10'000));
  outage.RecordRefusal(controls[1], At(10'000));
  CHECK_FALSE(outage.AsOf());
}

TEST_CASE("control hosts that are gone do not count") {
  const auto controls = Controls(3);
  ControlOutage outage;
  outage.SetControls(controls);
  outage.RecordRefusal(controls[0], At(100));
  outage.RecordRefusal(controls[1], At(200));
  REQUIRE(outage.AsOf() == At(100));
  outage.SetControls({controls[1], controls[2]});
  CHECK_FALSE(outage.AsOf());
  outage.RecordRefusal(controls[0], At(300));
  CHECK_FALSE(outage.AsOf());
}

}  // namespace foxquay::membership
