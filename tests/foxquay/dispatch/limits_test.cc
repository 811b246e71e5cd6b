#include "foxquay/dispatch/limits.h"

#include <catch2/catch.hpp>

#include "sample.h"

namespace foxquay::dispatch {

// Guards against adapting a limit without writing it to the upstream that the
// router uses.
TEST_CASE("a slow upstream's limit falls and another upstream's stays") {
  routing::Upstreams upstreams;
  REQUIRE_FALSE(
      upstreams.Replace({ModelUpstream("a", 0, 3), ModelUpstream("b", 0, 3)})
          .empty());
  Limits limits;
  limits.Configure(Policy(), "host-1", upstreams);
  core::Instant now = kStart;
  const auto run = [&](const char* id, milliseconds gap) {
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(20);
      limits.ObserveToken({core::UpstreamId(id)}, gap, now, upstreams);
    }
  };
  run("a", milliseconds(20));
  run("b", milliseconds(20));
  run("a", milliseconds(200));
  run("b", milliseconds(20));
  CHECK(upstreams.Find(core::UpstreamId("a"))->limit < 4);
  CHECK(upstreams.Find(core::UpstreamId("b"))->limit == 4);
}

// Guards against keeping the old limit when an upstream announces a different
// number of slots.
TEST_CASE("a limit follows the announced slots") {
  routing::Upstreams upstreams;
  schema::Announcement announced = ModelUpstream("a", 0, 3);
  Limits limits;
  for (const std::uint32_t slots : {4U, 2U, 8U}) {
    announced.slots = slots;
    ++announced.sequence;
    (void)upstreams.Replace({announced});
    limits.Configure(Policy(), "host-1", upstreams);
    CHECK(upstreams.Find(announced.id)->limit == slots);
  }
}

}  // namespace foxquay::dispatch
