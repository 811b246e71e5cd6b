#include "foxquay/daemon/result_channel.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "foxquay/daemon/announcements.h"

namespace foxquay::daemon {
namespace {

using std::chrono::milliseconds;

schema::Announcement Announced(std::uint64_t sequence, bool leaving = false) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId("u");
  announcement.sequence = sequence;
  announcement.leaving = leaving;
  return announcement;
}

}  // namespace

// Guards against unbounded memory use when a caller reads slowly.
TEST_CASE("a result channel bounds the buffer of a slow reader") {
  ResultChannel channel;
  const std::string text(1000, 'x');
  std::uint32_t accepted = 0;
  while (channel.Deliver({core::RequestId(1), accepted, text})) {
    REQUIRE(++accepted < 1000);
  }
  CHECK(accepted > 100);
  const core::Instant later =
      std::chrono::steady_clock::now() + milliseconds(1);
  CHECK_FALSE(channel.StalledSince(later));
  CHECK(channel.Await().tokens.size() == accepted + 1);
  CHECK(channel.StalledSince(later + std::chrono::hours(1)));
  CHECK_FALSE(channel.StalledSince(core::Instant{}));
  channel.Finish({});
  CHECK(channel.Await().finish);
  channel.Reset();
  CHECK_FALSE(channel.StalledSince(later + std::chrono::hours(1)));
}

// Guards against an upstream that stays in use after it was withdrawn or
// stopped announcing itself, or that a delayed announcement restores.
TEST_CASE("announcements expire, leave and are not restored by a delayed one") {
  Announcements announcements;
  const core::Instant start{};
  CHECK(announcements.Put(Announced(5), start));
  CHECK_FALSE(announcements.Put(Announced(6), start + milliseconds(600)));
  CHECK_FALSE(announcements.Expire(start + milliseconds(2399)));
  CHECK(announcements.Active().size() == 1);
  CHECK(announcements.Expire(start + milliseconds(2400)));
  CHECK(announcements.Active().empty());

  CHECK(announcements.Put(Announced(7), start));
  CHECK(announcements.Put(Announced(8, true), start));
  CHECK(announcements.Active().empty());
  CHECK_FALSE(announcements.Put(Announced(7), start));
  CHECK(announcements.Active().empty());

  CHECK(announcements.Put(Announced(9), start));
  CHECK(announcements.Remove(core::UpstreamId("u")));
  CHECK_FALSE(announcements.Put(Announced(9), start));
  CHECK(announcements.Active().empty());
}

}  // namespace foxquay::daemon
