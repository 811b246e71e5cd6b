#include "foxquay/routing/upstreams.h"

#include <catch2/catch.hpp>

namespace foxquay::routing {

// Guards against relying on load reports: they lag, so all hosts would choose
// the same upstream until the next report.
TEST_CASE("in-flight work counts immediately and reported load does not") {
  schema::Announcement announced;
  announced.id = core::UpstreamId("a");
  announced.model = core::ModelId("drafter");
  announced.sequence = 1;
  announced.slots = 10;
  announced.load = 4;
  Upstreams upstreams;
  (void)upstreams.Replace({announced});
  Upstream& upstream = *upstreams.Find(announced.id);
  CHECK(upstream.StreamsPerSlot() == Approx(0.1));
  upstream.in_flight = 3;
  CHECK(upstream.StreamsPerSlot() == Approx(0.4));
  announced.sequence = 2;
  announced.load = 7;
  (void)upstreams.Replace({announced});
  CHECK(upstream.StreamsPerSlot() == Approx(0.4));
  upstream.in_flight = 0;
  CHECK(upstream.StreamsPerSlot() == Approx(0.1));
}

}  // namespace foxquay::routing
