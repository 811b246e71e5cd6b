#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

constexpr int kUsualRequests = 90;
constexpr int kSent = 2000;  // When the slow request arrives, in ms.
constexpr int kDue = 2100;   // When it is slow.
const core::RequestId kSlow(1000);

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement Plain(const std::string& id) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.address = id + ":1";
  announcement.kind = "service";
  announcement.service = core::ServiceId("app");
  announcement.slots = 6;
  announcement.born = core::WallTime(std::chrono::seconds(1));
  return announcement;
}

/// A relay of one host that has had requests answered by three upstreams, and
/// one that is slow.
struct Fixture {
  explicit Fixture(const BudgetOptions& budget = {0.2, 200,
                                                  std::chrono::seconds(10)})
      : relay(budget, 1) {
    schema::Fleet fleet;
    fleet.version = 1;
    fleet.services.push_back({core::ServiceId("app"), 100, std::nullopt});
    schema::Route route;
    route.host = "h";
    route.path_prefix = "/";
    route.kind = schema::RequestKind::kRepeatable;
    route.max_attempts = 2;
    route.timeout = milliseconds(800);
    route.target_latency = milliseconds(300);
    route.services.push_back({core::ServiceId("app"), 1});
    fleet.routes.push_back(route);
    table = std::make_shared<const fleet::Table>(fleet);
    relay.SetHosts(1, At(0));
    relay.SetHedging({0.1});
    relay.SetUpstreams({Plain("a"), Plain("b"), Plain("c")}, At(0));
    for (int index = 0; index < kUsualRequests; ++index) {
      const core::RequestId id(static_cast<std::uint64_t>(index) + 1);
      (void)relay.Arrive(id, MakeContext(0), At(0));
      relay.RecordLatency(id, milliseconds(10), At(10));
      relay.Complete(id, At(10));
    }
  }

  [[nodiscard]] RequestContext MakeContext(int now) const {
    RequestContext context;
    context.table = table;
    context.route = &table->fleet().routes.front();
    context.service = &table->fleet().services.front();
    context.arrived = At(now);
    context.deadline = At(now + 800);
    return context;
  }

  /// Sends the slow request and returns its upstream.
  core::UpstreamId SendSlow(RequestContext context) {
    (void)relay.Arrive(kSlow, std::move(context), At(kSent));
    return relay.Path(kSlow).front().upstream;
  }
  core::UpstreamId SendSlow() { return SendSlow(MakeContext(kSent)); }

  /// Returns the upstream of the second send, if one is due.
  std::optional<core::UpstreamId> Second(int now = kDue) {
    for (const auto& [id, decision] : relay.DueHedges(At(now))) {
      if (const auto* send = std::get_if<Send>(&decision)) {
        return send->hops.front().upstream;
      }
      denial = std::get<HedgeDenial>(decision);
    }
    return std::nullopt;
  }

  /// Applies a change to the two upstreams that do not have the slow request.
  void ChangeOthers(
      const core::UpstreamId& first,
      const std::function<void(const core::UpstreamId&)>& change) const {
    for (const char* name : {"a", "b", "c"}) {
      const core::UpstreamId id(name);
      if (id != first) change(id);
    }
  }

  std::shared_ptr<const fleet::Table> table;
  Relay relay;
  std::optional<HedgeDenial> denial;
};

}  // namespace

TEST_CASE("a slow request is sent once more, to another upstream") {
  Fixture fixture;
  const core::UpstreamId first = fixture.SendSlow();
  CHECK_FALSE(fixture.Second(kSent + 50));
  const auto second = fixture.Second();
  REQUIRE(second);
  CHECK(*second != first);
  CHECK_FALSE(fixture.Second(kDue + 100));
}

// Guards against a protected request that runs twice, and against a second send
// by each of two hosts.
TEST_CASE("only requests of this host that may be repeated are sent twice") {
  Fixture fixture;
  RequestContext context = fixture.MakeContext(kSent);
  schema::Route route = *context.route;
  SECTION("protected") { route.kind = schema::RequestKind::kAtMostOnce; }
  SECTION("stream") {
    route.kind = schema::RequestKind::kStream;
    route.resumable = true;
  }
  SECTION("from another host") { context.relayed = true; }
  context.route = &route;
  (void)fixture.SendSlow(context);
  CHECK_FALSE(fixture.Second());
}

// Guards against more upstreams than the route allows.
TEST_CASE("a second send uses an attempt of the route") {
  Fixture fixture;
  RequestContext context = fixture.MakeContext(kSent);
  schema::Route route = *context.route;
  context.route = &route;
  SECTION("a route with one attempt") {
    route.max_attempts = 1;
    (void)fixture.SendSlow(context);
    CHECK_FALSE(fixture.Second());
    CHECK(fixture.denial == HedgeDenial::kAttempts);
  }
  SECTION("a request that has failed once") {
    (void)fixture.SendSlow(context);
    (void)fixture.relay.HandleLoss(kSlow, {LossKind::kError, ""}, At(kSent));
    CHECK_FALSE(fixture.Second());
    CHECK(fixture.denial == HedgeDenial::kAttempts);
  }
  SECTION("a request that fails after both sends") {
    (void)fixture.SendSlow(context);
    REQUIRE(fixture.Second());
    const Loss loss{LossKind::kError, ""};
    (void)fixture.relay.LoseCopy(kSlow, Copy::kHedge, loss, At(kDue));
    const Decision end = fixture.relay.HandleLoss(kSlow, loss, At(kDue));
    REQUIRE(std::holds_alternative<Refuse>(end));
    CHECK(std::get<Refuse>(end).status == 502);
  }
}

TEST_CASE("no second send goes to an upstream that should not get it") {
  Fixture fixture;
  Upstreams& upstreams = fixture.relay.upstreams();
  const core::UpstreamId first = fixture.SendSlow();
  const core::Instant now = At(kDue - 1);
  HedgeDenial expected = HedgeDenial::kRoom;
  std::function<void(const core::UpstreamId&)> change;
  SECTION("leaves") {
    change = [&](const auto& id) { upstreams.RecordLeaving(id, now); };
  }
  SECTION("pauses") {
    change = [&](const auto& id) {
      upstreams.RecordHoldOff(id, now + milliseconds(500));
    };
  }
  SECTION("is limited") {
    change = [&](const auto& id) { upstreams.RecordLimit(id, 50, now); };
  }
  SECTION("failed") {
    change = [&](const auto& id) { upstreams.RecordFailure(id, now); };
  }
  SECTION("turned a request away") {
    change = [&](const auto& id) { upstreams.RecordRefusal(id, now); };
  }
  SECTION("has no free slot") {
    change = [&](const auto& id) {
      for (int slot = 0; slot < 6; ++slot) {
        upstreams.Begin({{id, "", {}}}, {}, now);
      }
    };
    expected = HedgeDenial::kUpstream;
  }
  SECTION("is as slow") {
    change = [&](const auto& id) {
      for (int sample = 0; sample < 50; ++sample) {
        upstreams.RecordLatency(id, milliseconds(200), now);
      }
    };
    expected = HedgeDenial::kUpstream;
  }
  fixture.ChangeOthers(first, change);
  CHECK_FALSE(fixture.Second());
  CHECK(fixture.denial == expected);
}

// Guards against repeats after failures that find no retry left.
TEST_CASE("second sends leave half of the retries") {
  Fixture fixture({0, 5, std::chrono::seconds(10)});  // Four are used.
  const core::ServiceId app("app");
  RetryBudget& budget = fixture.relay.budget();
  CHECK(budget.TakeRetry(app, At(kSent)));
  CHECK(budget.TakeRetry(app, At(kSent)));
  (void)fixture.SendSlow();
  CHECK_FALSE(fixture.Second());
  CHECK(fixture.denial == HedgeDenial::kBudget);
  CHECK(budget.TakeRetry(app, At(kDue)));
  CHECK(budget.TakeRetry(app, At(kDue)));
}

TEST_CASE(
    "there is no second send with too little time left or while outdated") {
  Fixture fixture;
  SECTION("too little time") {
    RequestContext context = fixture.MakeContext(kSent);
    context.deadline = At(kDue + 20);
    (void)fixture.SendSlow(context);
    CHECK_FALSE(fixture.Second());
    CHECK(fixture.denial == HedgeDenial::kDeadline);
  }
  SECTION("outdated") {
    (void)fixture.SendSlow();
    fixture.relay.SetOutdated(true);
    CHECK_FALSE(fixture.Second());
  }
  SECTION("the answer has begun") {
    (void)fixture.SendSlow();
    fixture.relay.CloseHedging(kSlow);
    CHECK_FALSE(fixture.Second());
  }
}

// Guards against load of a send that has ended, which would keep its upstream
// from getting requests.
TEST_CASE("the load of both sends is released however they end") {
  Fixture fixture;
  const core::UpstreamId first = fixture.SendSlow();
  const core::UpstreamId second = *fixture.Second();
  Relay& relay = fixture.relay;
  const core::Instant now = At(kDue);
  SECTION("the first is answered") {
    relay.DropHedge(kSlow, now);
    relay.Complete(kSlow, now);
  }
  SECTION("the second is answered") {
    relay.WinHedge(kSlow, now);
    CHECK(relay.Path(kSlow).front().upstream == second);
    relay.Complete(kSlow, now);
  }
  SECTION("both are lost") {
    const Loss loss{LossKind::kUnanswered, ""};
    (void)relay.LoseCopy(kSlow, Copy::kFirst, loss, now);
    CHECK(relay.Path(kSlow).front().upstream == second);
    (void)relay.HandleLoss(kSlow, loss, now);
  }
  SECTION("the caller leaves") { relay.Abandon(kSlow); }
  SECTION("the deadline passes") { (void)relay.Review(At(kSent + 800)); }
  CHECK(relay.size() == 0);
  // An upstream that has left the list is known while it has load.
  relay.SetUpstreams({}, now);
  CHECK(relay.upstreams().Born(first) == core::WallTime());
  CHECK(relay.upstreams().Born(second) == core::WallTime());
}

// Guards against a crash that is put down to the upstream of the other send.
TEST_CASE("a crash is suspected at the upstream whose send was lost") {
  Fixture fixture;
  RequestContext context = fixture.MakeContext(kSent);
  context.parts = quarantine::MakeParts({}, "digest");
  const core::UpstreamId first = fixture.SendSlow(std::move(context));
  const core::UpstreamId second = *fixture.Second();
  const Copy lost = GENERATE(Copy::kFirst, Copy::kHedge);
  const auto suspicion = fixture.relay.LoseCopy(
      kSlow, lost, {LossKind::kUnanswered, "", true}, At(kDue));
  REQUIRE(suspicion);
  CHECK(suspicion->upstream == (lost == Copy::kFirst ? first : second));
  CHECK(fixture.relay.Path(kSlow).front().upstream ==
        (lost == Copy::kFirst ? second : first));
}

// Guards against a slow upstream that looks fast, as its slow answers are never
// seen.
TEST_CASE("a first send that is given up counts as slow") {
  Fixture fixture;
  const core::UpstreamId first = fixture.SendSlow();
  REQUIRE(fixture.Second());
  const core::Instant now = At(kDue + 300);
  fixture.relay.WinHedge(kSlow, now);
  fixture.relay.Complete(kSlow, now);
  FirstHops others;
  fixture.ChangeOthers(first,
                       [&](const auto& id) { others.avoid.push_back(id); });
  CHECK(fixture.relay.upstreams()
            .ChooseSpare(core::ServiceId("app"), others, milliseconds(20), now)
            .empty());
}

}  // namespace foxquay::relay
