#include "foxquay/gateway/placer.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "proxy_fixture.h"

namespace foxquay::gateway {
namespace {

using std::chrono::milliseconds;

/// A control host's placer and an upstream that asks for a pause.
struct PlacerFixture {
  PlacerFixture() {
    schema::Service service;
    service.id = core::ServiceId("app");
    service.engine.emplace();
    service.engine->layers = 4;
    schema::Fleet fleet;
    fleet.services.push_back(service);
    placer.SetFleet(std::make_shared<const fleet::Table>(fleet));
    announcement = ProxyFixture::Announce("a", upstream);
    announcement.kind = "model";
    announcement.unplaced = true;
  }

  void RunFor(core::Duration duration) {
    const auto end = net::SteadyNow() + duration;
    while (net::SteadyNow() < end) {
      context.run_one_for(milliseconds(5));
      placer.Review();
      for (; answered < upstream.requests.size(); ++answered) {
        net::Response declined = net::MakeResponse(503, "text/plain", "");
        declined.fields.set("Pause", "5");
        upstream.server.Respond(upstream.requests[answered].first, declined);
      }
    }
  }

  boost::asio::io_context context;
  FakeUpstream upstream{context};
  std::size_t answered = 0;
  relay::HoldOffs hold_offs;
  schema::Announcement announcement;
  Placer placer{
      context, MakeProtocol(), hold_offs,
      [](const core::UpstreamId&, const std::optional<schema::LayerRange>&) {}};
};

// Guards against control hosts that go on to inquire and order at an upstream
// that asked them for a pause.
TEST_CASE("an upstream that pauses gets no inquiries and orders") {
  PlacerFixture fixture;
  int reached = 0;
  const auto count = [&reached](bool is_reached) { reached += is_reached; };
  fixture.placer.Probe(fixture.announcement, count);
  fixture.RunFor(milliseconds(200));
  REQUIRE(fixture.upstream.requests.size() == 1);
  CHECK(fixture.hold_offs.Active(core::UpstreamId("a"), net::SteadyNow()));
  // Whether it still runs is not known, and nothing is claimed.
  fixture.placer.Probe(fixture.announcement, count);
  fixture.placer.SetUpstreams({fixture.announcement});
  fixture.placer.SetLeadership(true, 1);
  fixture.RunFor(milliseconds(1500));
  CHECK(fixture.upstream.requests.size() == 1);
  CHECK(reached == 1);
}

TEST_CASE("a pause in the answer to a report is kept") {
  PlacerFixture fixture;
  fixture.placer.SetUpstreams({fixture.announcement});
  fixture.placer.SetLeadership(true, 1);
  fixture.RunFor(milliseconds(1500));
  CHECK(fixture.upstream.requests.size() == 1);
}

}  // namespace
}  // namespace foxquay::gateway
