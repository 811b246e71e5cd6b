#include "foxquay/routing/upstreams.h"

#include <catch2/catch.hpp>

namespace foxquay::routing {

// Guards against a host that sends all work of a report interval to the
// upstream that was idle when the interval began.
TEST_CASE("work started since the last load report counts") {
  schema::Announcement announced;
  announced.id = core::UpstreamId("a");
  announced.model = core::ModelId("drafter");
  announced.sequence = 1;
  announced.slots = 10;
  announced.load = 4;
  Upstreams upstreams;
  (void)upstreams.Replace({announced});
  Upstream& upstream = *upstreams.Find(announced.id);
  CHECK(upstream.Share() == Approx(0.5));
  upstream.in_flight = 3;
  CHECK(upstream.Share() == Approx(0.8));
  // The same report again is not newer.
  (void)upstreams.Replace({announced});
  CHECK(upstream.Share() == Approx(0.8));
  announced.sequence = 2;
  announced.load = 7;
  (void)upstreams.Replace({announced});
  CHECK(upstream.Share() == Approx(0.8));
  upstream.in_flight = 0;
  CHECK(upstream.Share() == Approx(0.5));
}

}  // namespace foxquay::routing
