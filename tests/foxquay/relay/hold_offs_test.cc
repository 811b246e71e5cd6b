#include "foxquay/relay/hold_offs.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement MakeAnnouncement(int born) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId("a");
  announcement.address = "a:1";
  announcement.service = core::ServiceId("app");
  announcement.slots = 4;
  announcement.born = core::WallTime(seconds(born));
  return announcement;
}

bool Chosen(Upstreams& upstreams, core::Instant now) {
  schema::Service service;
  service.id = core::ServiceId("app");
  NoPath reason{};
  return !upstreams.ChoosePath(service, {}, {}, now, reason).empty();
}

TEST_CASE("the longest pause counts until its end") {
  HoldOffs hold_offs;
  const core::UpstreamId upstream("a");
  CHECK(hold_offs.Record(upstream, At(3000)));
  CHECK_FALSE(hold_offs.Record(upstream, At(1000)));
  hold_offs.Expire(At(2999));
  CHECK(hold_offs.Active(upstream, At(2999)));
  CHECK_FALSE(hold_offs.Active(upstream, At(3000)));
  CHECK_FALSE(hold_offs.Active(core::UpstreamId("b"), At(0)));
}

// Guards against a pause that is lost with an announcement: it is meant for
// this host, whatever becomes of the upstream's process.
TEST_CASE("a pause outlasts a restart and an absence of the upstream") {
  Upstreams upstreams;
  SECTION("restarted") {
    upstreams.Set({MakeAnnouncement(1)}, At(0));
    CHECK(upstreams.RecordHoldOff(core::UpstreamId("a"), At(3000)));
    upstreams.Set({MakeAnnouncement(2)}, At(500));
  }
  SECTION("not listed for a while") {
    upstreams.Set({MakeAnnouncement(1)}, At(0));
    CHECK(upstreams.RecordHoldOff(core::UpstreamId("a"), At(3000)));
    upstreams.Set({}, At(400));
    upstreams.Set({MakeAnnouncement(1)}, At(500));
  }
  SECTION("not listed yet") {
    CHECK(upstreams.RecordHoldOff(core::UpstreamId("a"), At(3000)));
    upstreams.Set({MakeAnnouncement(1)}, At(500));
  }
  CHECK_FALSE(Chosen(upstreams, At(2999)));
  CHECK(Chosen(upstreams, At(3000)));
}

}  // namespace
}  // namespace foxquay::relay
