#include "foxquay/relay/latency_tracker.h"

#include <catch2/catch.hpp>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

}  // namespace

// Upstreams may become four times slower for some seconds and then recover.
TEST_CASE(
    "a slowdown is detected within two seconds and decays without samples") {
  LatencyTracker tracker;
  int now = 0;
  for (int event = 0; event < 50; ++event) {
    tracker.Record(milliseconds(30), At(now += 30));
  }
  CHECK(tracker.Slowdown(At(now)) == core::Duration::zero());
  const int start = now;
  while (now < start + 2000) tracker.Record(milliseconds(120), At(now += 60));
  CHECK(tracker.Slowdown(At(now)) > milliseconds(60));
  CHECK(tracker.RecentLatency(At(now)) > milliseconds(90));
  CHECK(tracker.Slowdown(At(now + 9000)) < milliseconds(10));
}

TEST_CASE("normal variation is not a slowdown") {
  LatencyTracker tracker;
  for (int event = 0; event < 100; ++event) {
    tracker.Record(milliseconds(event % 2 == 0 ? 26 : 34), At(event * 30));
  }
  CHECK(tracker.Slowdown(At(3000)) == core::Duration::zero());
}

TEST_CASE("an upstream without samples has no slowdown") {
  const LatencyTracker tracker;
  CHECK(tracker.Slowdown(At(10)) == core::Duration::zero());
  CHECK(tracker.RecentLatency(At(10)) == core::Duration::zero());
}

// Guards against a slow upstream that is tried again and again, as none of its
// requests is waited for.
TEST_CASE("requests that are given up raise the latency more each time") {
  using std::chrono::milliseconds;
  const auto at = [](int ms) { return core::Instant(milliseconds(ms)); };
  LatencyTracker tracker;
  tracker.Record(milliseconds(20), at(0));
  tracker.RecordAtLeast(milliseconds(10), at(10));
  CHECK(tracker.RecentLatency(at(10)) < milliseconds(21));
  tracker.RecordAtLeast(milliseconds(100), at(200));
  tracker.RecordAtLeast(milliseconds(101), at(200));
  CHECK(tracker.RecentLatency(at(200)) == milliseconds(101));
  tracker.RecordAtLeast(milliseconds(100), at(5000));
  CHECK(tracker.RecentLatency(at(5000)) == milliseconds(200));
  for (int ms = 20'000; ms < 200'000; ms += 20'000) {
    tracker.RecordAtLeast(milliseconds(100), at(ms));
  }
  CHECK(tracker.RecentLatency(at(180'000)) == milliseconds(800));
  tracker.Record(milliseconds(20), at(200'000));
  tracker.RecordAtLeast(milliseconds(100), at(200'200));
  CHECK(tracker.RecentLatency(at(200'200)) == milliseconds(100));
}

}  // namespace foxquay::relay
