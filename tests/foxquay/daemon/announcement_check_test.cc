#include "foxquay/daemon/announcement_check.h"

#include <catch2/catch.hpp>
#include <string>

namespace foxquay::daemon {
namespace {

constexpr core::WallTime kNow{std::chrono::hours(24 * 365 * 56)};

schema::Announcement MakeAnnouncement() {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId("gpu-1");
  announcement.address = "10.0.0.9:8080";
  announcement.born = kNow - std::chrono::hours(1);
  return announcement;
}

}  // namespace

TEST_CASE("an announcement in its bounds may be used") {
  CHECK(CheckAnnouncement(MakeAnnouncement(), kNow).empty());
  schema::Announcement ahead = MakeAnnouncement();
  ahead.born = kNow + std::chrono::seconds(30);
  CHECK(CheckAnnouncement(ahead, kNow).empty());
}

TEST_CASE("an address that names no port is refused") {
  for (const char* address :
       {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
        "10.0.0.9:80808080808080", "10.0.0.9:-1", "10.0.0.9:8080x",
        "gpu.example:8080", "10.0.0.999:8080"}) {
    CAPTURE(address);
    schema::Announcement odd = MakeAnnouncement();
    odd.address = address;
    CHECK_FALSE(CheckAnnouncement(odd, kNow).empty());
  }
}

// Guards against feeds that no host can read.
TEST_CASE("an announcement that no message can hold is refused") {
  schema::Announcement odd = MakeAnnouncement();
  odd.accelerator = std::string(65, 'x');
  CHECK_FALSE(CheckAnnouncement(odd, kNow).empty());
  odd = MakeAnnouncement();
  odd.id = core::UpstreamId(std::string(129, 'x'));
  CHECK_FALSE(CheckAnnouncement(odd, kNow).empty());
  odd = MakeAnnouncement();
  odd.service = core::ServiceId(std::string(10'000, 'x'));
  CHECK_FALSE(CheckAnnouncement(odd, kNow).empty());
}

// Guards against an entry that outranks what the upstream says.
TEST_CASE("a start time in the future is refused") {
  schema::Announcement odd = MakeAnnouncement();
  odd.born = kNow + std::chrono::hours(1);
  CHECK_FALSE(CheckAnnouncement(odd, kNow).empty());
}

}  // namespace foxquay::daemon
