#include "foxquay/roster/unconfigured.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::roster {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart{std::chrono::hours(1)};
const core::ServiceId kApp("app");
const core::ServiceId kNext("next");

schema::Announcement MakeAnnouncement(const std::string& id,
                                      const core::ServiceId& service,
                                      std::uint64_t sequence = 1) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.service = service;
  announcement.sequence = sequence;
  return announcement;
}

}  // namespace

TEST_CASE("no service is unconfigured without a configuration") {
  Unconfigured held;
  CHECK_FALSE(held.Lacks(kApp));
  CHECK(held.SetServices({kApp}, kStart).empty());
  CHECK_FALSE(held.Lacks(kApp));
  CHECK(held.Lacks(kNext));
  // An upstream that holds a model is part of no service.
  CHECK_FALSE(held.Lacks(core::ServiceId()));
}

// Guards against upstreams that a new service lacks until they announce
// themselves again.
TEST_CASE("held announcements are usable once their service is configured") {
  Unconfigured held;
  (void)held.SetServices({kApp}, kStart);
  CHECK(held.Hold(MakeAnnouncement("a", kNext, 2), kStart));
  CHECK_FALSE(held.Hold(MakeAnnouncement("a", kNext, 3), kStart));
  CHECK_FALSE(held.Hold(MakeAnnouncement("a", kNext, 1), kStart));
  CHECK(held.Hold(MakeAnnouncement("b", core::ServiceId("odd")), kStart));
  const auto usable =
      held.SetServices({kApp, kNext}, kStart + milliseconds(1000));
  REQUIRE(usable.size() == 1);
  CHECK(usable[0].sequence == 3);
  CHECK(held.size() == 1);
  CHECK(held.Drop(core::UpstreamId("b")));
  CHECK_FALSE(held.Drop(core::UpstreamId("b")));
}

// Guards against the use of an upstream that has been silent, and against
// entries of other writers that fill the memory.
TEST_CASE("held announcements end with their time and are limited") {
  Unconfigured held;
  (void)held.SetServices({kApp}, kStart);
  (void)held.Hold(MakeAnnouncement("a", kNext), kStart);
  CHECK(held.SetServices({kNext}, kStart + milliseconds(1801)).empty());
  CHECK(held.size() == 0);
  (void)held.SetServices({}, kStart);
  for (std::size_t index = 0; index <= kMaxUnconfigured; ++index) {
    (void)held.Hold(MakeAnnouncement(std::to_string(index), kNext), kStart);
  }
  CHECK(held.size() == kMaxUnconfigured);
}

}  // namespace foxquay::roster
