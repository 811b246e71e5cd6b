#include "foxquay/control/content_share.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::control {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLarge = 200'000;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

TEST_CASE("a host is sent content once while it may be on its way") {
  ContentShare share;
  const core::HostId host("a");
  REQUIRE(share.Allowed(host, 1, At(0)) == kUnlimitedContent);
  share.RecordSent(host, 2, kLarge, milliseconds(2), At(2));
  CHECK(share.Allowed(host, 1, At(400)) == kInlineContentBytes);
  SECTION("until it states that it has it") {
    CHECK(share.Allowed(host, 2, At(800)) == kUnlimitedContent);
  }
  SECTION("until its connection is lost") {
    share.RecordLoss(host);
    CHECK(share.Allowed(host, 1, At(800)) == kUnlimitedContent);
  }
  SECTION("until it must have arrived") {
    const core::Instant later = At(2) + kContentTimeout;
    CHECK(share.Allowed(host, 1, later) == kUnlimitedContent);
  }
}

TEST_CASE("contents take a part of the time, whatever the machine") {
  const core::Duration spent = GENERATE(milliseconds(1), milliseconds(40));
  ContentShare share;
  core::Instant now = At(0);
  core::Duration total{};
  for (int host = 0; now < At(4000); ++host) {
    const core::HostId id(std::to_string(host));
    if (share.Allowed(id, 1, now) == kUnlimitedContent) {
      now += spent;
      total += spent;
      share.RecordSent(id, 2, kLarge, spent, now);
    } else {
      now += milliseconds(1);
    }
  }
  CHECK(total <= core::Scale(now - At(0), kContentShare) + spent);
  CHECK(total >= core::Scale(now - At(0), kContentShare / 2));
}

// Guards against hosts whose control host does not answer and that others tell
// only that they are out of date.
TEST_CASE("any control host sends a host what it has lacked for long") {
  ContentShare share;
  const core::HostId host("a");
  const core::Instant overdue = At(0) + kContentOverdue;
  share.RecordSent(core::HostId("b"), 2, 0, {}, At(0));
  share.RecordSent(core::HostId("b"), 3, 0, {}, At(100));
  CHECK(share.Allowed(host, 1, At(100), false) == kInlineContentBytes);
  CHECK(share.Allowed(host, 1, overdue, false) == kUnlimitedContent);
  CHECK(share.Allowed(host, 2, overdue, false) == kInlineContentBytes);
  SECTION("once while it may be on its way") {
    share.RecordSent(host, 3, kLarge, milliseconds(1), overdue);
    const core::Instant later = overdue + milliseconds(250);
    CHECK(share.Allowed(host, 1, later, false) == kInlineContentBytes);
  }
  SECTION("in its share of the time") {
    share.RecordSent(core::HostId("b"), 3, kLarge, milliseconds(40), overdue);
    CHECK(share.Allowed(host, 1, overdue, false) == kPromptContentBytes);
    share.RecordSent(core::HostId("b"), 3, kLarge, milliseconds(80), overdue);
    CHECK(share.Allowed(host, 1, overdue, false) == kInlineContentBytes);
  }
}

// Guards against hosts that are left without content since others always poll
// right before them.
TEST_CASE("hosts that poll at the same time all get changes that follow") {
  constexpr int kHosts = 20;
  constexpr std::size_t kBytes = 35'000;
  ContentShare share;
  std::array<std::uint64_t, kHosts> versions{};
  std::array<core::Instant, kHosts> sent{};
  core::Duration longest{};
  for (int start = 0; start < 10'000; start += 250) {
    for (std::size_t index = 0; index < kHosts; ++index) {
      const core::HostId host(std::to_string(index));
      const core::Instant now = At(start + static_cast<int>(index) * 2);
      const std::uint64_t newest = static_cast<std::uint64_t>(start) / 100 + 1;
      const std::size_t allowed =
          share.Allowed(host, versions.at(index), now, true);
      const std::size_t bytes = allowed < kBytes ? 0 : kBytes;
      share.RecordSent(host, newest, bytes, milliseconds(2), now);
      longest = std::max(longest, now - sent.at(index));
      if (bytes == 0) continue;
      versions.at(index) = newest;
      sent.at(index) = now;
    }
  }
  CHECK(longest < std::chrono::seconds(1));
}

TEST_CASE("small changes go with every reply") {
  ContentShare share;
  share.RecordSent(core::HostId("a"), 2, 300, milliseconds(1), At(1));
  CHECK(share.Allowed(core::HostId("a"), 1, At(1)) == kUnlimitedContent);
}

}  // namespace
}  // namespace foxquay::control
