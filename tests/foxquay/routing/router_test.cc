#include "foxquay/routing/router.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace foxquay::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Instant kStart{seconds(1000)};

schema::Announcement SampleAnnouncement(const std::string& id,
                                        std::uint32_t first,
                                        std::uint32_t last) {
  schema::Announcement announced;
  announced.id = core::UpstreamId(id);
  announced.data_centre = core::DataCentreId("osborne");
  announced.model = core::ModelId("drafter");
  announced.layers = {first, last};
  announced.model_layers = 8;
  announced.slots = 8;
  return announced;
}

Router SampleRouter(const std::vector<schema::Announcement>& announced) {
  Router router({core::DataCentreId("osborne"), {}, 5});
  router.Replace(announced);
  return router;
}

Query SampleQuery() {
  return {core::ModelId("drafter"), "", std::nullopt, {}, {}};
}

/// Returns the fraction of decisions whose chain starts at an upstream.
double ShareOf(Router& router, const std::string& id, core::Instant now) {
  constexpr int kDecisions = 2000;
  int count = 0;
  for (int i = 0; i < kDecisions; ++i) {
    const auto found = router.Find(SampleQuery(), now);
    const Plan& plan = std::get<Plan>(found);
    if (plan.chain.front().upstream.value() == id) ++count;
  }
  return static_cast<double>(count) / kDecisions;
}

}  // namespace

// Guards against refusals that name no layers, or layers that an upstream
// holds.
TEST_CASE("the missing layers of a model are named") {
  Router router = SampleRouter(
      {SampleAnnouncement("a", 0, 1), SampleAnnouncement("b", 4, 6)});
  const auto found = router.Find(SampleQuery(), kStart);
  const auto& none = std::get<NoPlan>(found);
  CHECK(none.reason == NoPlan::Reason::kMissing);
  CHECK(FormatLayerRanges(none.missing) == "2-3, 7-7");
}

// Guards against routing work to upstreams that are leaving, no longer listed,
// disabled or full.
TEST_CASE("closed and full upstreams are not in any chain") {
  Router router = SampleRouter(
      {SampleAnnouncement("a", 0, 7), SampleAnnouncement("b", 0, 7)});
  SECTION("leaving") {
    schema::Announcement leaving = SampleAnnouncement("a", 0, 7);
    leaving.leaving = true;
    router.Replace({leaving, SampleAnnouncement("b", 0, 7)});
  }
  SECTION("withdrawn") { router.Replace({SampleAnnouncement("b", 0, 7)}); }
  SECTION("disabled") {
    router.upstreams().Find(core::UpstreamId("a"))->enabled = false;
  }
  SECTION("full") {
    router.upstreams().Find(core::UpstreamId("a"))->limit = 1;
    router.BeginWork(core::UpstreamId("a"));
  }
  CHECK(ShareOf(router, "b", kStart) == 1);
}

// Guards against refusing a request that could wait for a slot to become free.
TEST_CASE("a full model is busy, not missing") {
  Router router = SampleRouter({SampleAnnouncement("a", 0, 7)});
  router.upstreams().Find(core::UpstreamId("a"))->limit = 0;
  const auto found = router.Find(SampleQuery(), kStart);
  CHECK(std::get<NoPlan>(found).reason == NoPlan::Reason::kBusy);
}

// Guards against chains whose stages hold different versions or lack the
// adapter.
TEST_CASE("a chain has one version and the adapter on every stage") {
  schema::Announcement head = SampleAnnouncement("a", 0, 3);
  schema::Announcement tail = SampleAnnouncement("b", 4, 7);
  head.versions = {"v1", "v2"};
  tail.versions = {"v2", "v3"};
  head.adapters = {"quotes"};
  Router router = SampleRouter({head, tail});
  Query query = SampleQuery();
  CHECK(std::get<Plan>(router.Find(query, kStart)).version == "v2");
  query.version = "v1";
  CHECK(std::holds_alternative<NoPlan>(router.Find(query, kStart)));
  query.version = "v2";
  query.adapter = "quotes";
  CHECK(std::holds_alternative<NoPlan>(router.Find(query, kStart)));
  tail.adapters = {"quotes"};
  router.Replace({head, tail});
  CHECK(std::holds_alternative<Plan>(router.Find(query, kStart)));
}

// Guards against chains over slow links while nearby upstreams are idle.
TEST_CASE("an idle chain stays in the host's data centre") {
  schema::Announcement far = SampleAnnouncement("a", 0, 7);
  far.data_centre = core::DataCentreId("welshpool");
  Router router = SampleRouter({far, SampleAnnouncement("b", 0, 7)});
  CHECK(ShareOf(router, "b", kStart) == 1);
}

// Guards against a failed upstream that gets work immediately, or all of its
// former share in one step after back-off.
TEST_CASE("a failed upstream backs off and returns gradually") {
  Router router = SampleRouter(
      {SampleAnnouncement("a", 0, 7), SampleAnnouncement("b", 0, 7)});
  router.upstreams()
      .Find(core::UpstreamId("a"))
      ->failure_record.RecordFailure(kStart);
  CHECK(ShareOf(router, "a", kStart + milliseconds(999)) == 0);
  // Back-off lasts 1 s, the gradual return 2 s.
  const double early = ShareOf(router, "a", kStart + milliseconds(1100));
  const double middle = ShareOf(router, "a", kStart + milliseconds(2500));
  const double late = ShareOf(router, "a", kStart + milliseconds(2900));
  const double after = ShareOf(router, "a", kStart + milliseconds(3100));
  CAPTURE(early, middle, late, after);
  CHECK(early < 0.2);
  CHECK(middle > early + 0.05);
  CHECK(late > middle + 0.05);
  CHECK(after > 0.45);
}

// Guards against equal traffic for upstreams of unequal speed, and against an
// upstream that is never tried again after it was slow for a while.
TEST_CASE("learnt layer times steer traffic and decay") {
  Router router = SampleRouter(
      {SampleAnnouncement("a", 0, 7), SampleAnnouncement("b", 0, 7)});
  const auto learn = [&](const char* id, core::Duration gap) {
    for (int i = 0; i < 50; ++i) {
      router.upstreams().Learn({{core::UpstreamId(id), 8}}, gap, kStart);
    }
  };
  learn("a", milliseconds(40));
  learn("b", milliseconds(4));
  // The slower one is chosen only if it is the only member that is compared.
  CHECK(ShareOf(router, "a", kStart) < 0.1);
  const Upstream& slow = *router.upstreams().Find(core::UpstreamId("a"));
  CHECK(slow.layer_time.Seconds(kStart) == Approx(0.04 / 8 / slow.Slowdown()));
  router.Replace(
      {SampleAnnouncement("a", 0, 7), SampleAnnouncement("b", 0, 7)});
  CHECK(slow.layer_time.Seconds(kStart + seconds(60)) <
        0.7 * slow.layer_time.Seconds(kStart));
}

// Guards against attributing the time of one stage to another: only different
// chains over the same stages tell them apart.
TEST_CASE("different chains tell the layer times of their stages apart") {
  Router router = SampleRouter({SampleAnnouncement("a", 0, 3),
                                SampleAnnouncement("b", 0, 3),
                                SampleAnnouncement("c", 4, 7)});
  const std::map<std::string, double> truth{
      {"a", 1e-3}, {"b", 2e-3}, {"c", 4e-3}};
  const double slowdown =
      router.upstreams().Find(core::UpstreamId("a"))->Slowdown();
  for (int i = 0; i < 400; ++i) {
    const std::string head = i % 2 == 0 ? "a" : "b";
    const double gap = (truth.at(head) + truth.at("c")) * 4 * slowdown;
    router.upstreams().Learn(
        {{core::UpstreamId(head), 4}, {core::UpstreamId("c"), 4}},
        std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(gap)),
        kStart);
  }
  const auto seconds_of = [&](const char* id) {
    return router.upstreams()
        .Find(core::UpstreamId(id))
        ->layer_time.Seconds(kStart);
  };
  // Two chains over three stages determine only these two combinations.
  CHECK(seconds_of("b") - seconds_of("a") == Approx(1e-3).epsilon(0.01));
  CHECK(seconds_of("a") + seconds_of("c") == Approx(5e-3).epsilon(0.01));
}

// Guards against retrying an upstream that keeps failing at a constant rate.
TEST_CASE("backoff doubles with each failure in a row") {
  FailureRecord record;
  record.RecordFailure(kStart);
  record.RecordFailure(kStart + seconds(1));
  CHECK(record.InBackoff(kStart + milliseconds(2999)));
  CHECK_FALSE(record.InBackoff(kStart + seconds(3)));
}

// Guards against herding: all hosts choosing the same upstream at once.
TEST_CASE("hosts with different seeds spread over equal upstreams") {
  std::vector<schema::Announcement> announced(16);
  for (std::size_t i = 0; i < announced.size(); ++i) {
    announced[i] = SampleAnnouncement("u" + std::to_string(i), 0, 7);
  }
  std::map<std::string, int> picked;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    Router router({core::DataCentreId("osborne"), {}, seed});
    router.Replace(announced);
    const auto found = router.Find(SampleQuery(), kStart);
    ++picked[std::get<Plan>(found).chain.front().upstream.value()];
  }
  CHECK(picked.size() == 16);
  for (const auto& [id, count] : picked) CHECK(count < 30);
}

}  // namespace foxquay::routing
