#include "foxquay/placement/reconciler.h"

#include <catch2/catch.hpp>

#include "engines.h"

namespace foxquay::placement {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement Empty(const std::string& id) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.address = id;
  announcement.kind = "model";
  announcement.accelerator = "large";
  announcement.unplaced = true;
  return announcement;
}

std::vector<schema::Announcement> Fleet() {
  std::vector<schema::Announcement> fleet;
  for (const char* id : {"u1", "u2", "u3", "u4", "u5"}) {
    fleet.push_back(Empty(id));
  }
  return fleet;
}

std::size_t Orders(const std::vector<Action>& actions) {
  return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const Action& action) {
        return std::holds_alternative<Order>(action);
      }));
}

}  // namespace

TEST_CASE("only a leader that has heard all upstreams gives orders") {
  Reconciler reconciler;
  reconciler.SetUpstreams(Fleet(), MakeEngine(), At(0));
  CHECK(reconciler.Tick(At(5000)).empty());
  reconciler.SetLeadership(true, 3, At(5000));
  CHECK(Orders(reconciler.Tick(At(5100))) == 0);
  CHECK(reconciler.Tick(At(5200)).empty());
  const std::vector<Action> actions = reconciler.Tick(At(8000));
  REQUIRE(Orders(actions) == 5);
  CHECK(std::get<Order>(actions[0]).fence == 3);
  CHECK(std::get<Order>(actions[0]).expected == 0);
  CHECK(reconciler.Tick(At(8100)).empty());
}

// Guards against a new leader whose first orders all miss the counts that the
// upstreams have from the one before it.
TEST_CASE("a new leader learns the counts of orders before it gives one") {
  Reconciler reconciler;
  reconciler.SetUpstreams(Fleet(), MakeEngine(), At(0));
  reconciler.SetLeadership(true, 4, At(0));
  const std::vector<Action> asked = reconciler.Tick(At(100));
  REQUIRE(asked.size() == 5);
  for (const Action& action : asked) {
    const core::UpstreamId id = std::get<Inquiry>(action).upstream;
    reconciler.HandleReport(id, Report{7, {}, false}, At(200));
  }
  const std::vector<Action> orders = reconciler.Tick(At(3000));
  REQUIRE(Orders(orders) == 5);
  for (const Action& action : orders) {
    CHECK(std::get<Order>(action).expected == 7);
  }
}

// Guards against an inquiry whose answer shows the state before the one that
// refused the order, and so leads to the same refusal again; seen as orders in
// turn between two plans for seconds.
TEST_CASE("an order that did not fit is looked into when a report shows why") {
  Reconciler reconciler;
  reconciler.SetUpstreams(Fleet(), MakeEngine(), At(0));
  reconciler.SetLeadership(true, 4, At(0));
  REQUIRE(Orders(reconciler.Tick(At(3000))) == 5);
  reconciler.HandleOrderOutcome(core::UpstreamId("u1"), OrderOutcome::kMismatch,
                                At(3100));
  CHECK(reconciler.Tick(At(3200)).empty());
  CHECK(reconciler.Tick(At(3300)).empty());
  CHECK(reconciler.Tick(At(3400)).size() == 1);
}

// An order without an answer may be carried out seconds later.
TEST_CASE("an unanswered order is looked into before another is given") {
  Reconciler reconciler;
  reconciler.SetLeadership(true, 3, At(0));
  reconciler.SetUpstreams(Fleet(), MakeEngine(), At(0));
  REQUIRE(Orders(reconciler.Tick(At(5000))) == 5);
  const core::UpstreamId id("u1");
  reconciler.HandleOrderOutcome(id, OrderOutcome::kUnanswered, At(6000));
  const std::vector<Action> actions = reconciler.Tick(At(6100));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Inquiry>(actions[0]).upstream == id);
  CHECK(reconciler.Tick(At(6200)).empty());
  SECTION("it was not carried out") {
    reconciler.HandleReport(id, Report{0, {}, false}, At(6300));
    const std::vector<Action> again = reconciler.Tick(At(6400));
    REQUIRE(Orders(again) == 1);
    CHECK(std::get<Order>(again[0]).expected == 0);
  }
  SECTION("it is being carried out") {
    reconciler.HandleReport(id, Report{1, {}, true}, At(6300));
    CHECK(reconciler.Tick(At(6400)).empty());
  }
}

TEST_CASE("an upstream that was born again is told afresh") {
  Reconciler reconciler;
  reconciler.SetLeadership(true, 3, At(0));
  std::vector<schema::Announcement> fleet = Fleet();
  reconciler.SetUpstreams(fleet, MakeEngine(), At(0));
  for (const Action& action : reconciler.Tick(At(5000))) {
    reconciler.HandleOrderOutcome(std::get<Order>(action).upstream,
                                  OrderOutcome::kAccepted, At(5100));
  }
  CHECK(reconciler.Tick(At(5200)).empty());
  fleet[0].born = core::WallTime(milliseconds(77));
  reconciler.SetUpstreams(fleet, MakeEngine(), At(5300));
  const std::vector<Action> actions = reconciler.Tick(At(5400));
  REQUIRE(Orders(actions) == 1);
  CHECK(std::get<Order>(actions[0]).upstream.value() == "u1");
  CHECK(std::get<Order>(actions[0]).expected == 0);
}

TEST_CASE("a fenced leader leaves the upstream alone for a while") {
  Reconciler reconciler;
  reconciler.SetLeadership(true, 3, At(0));
  reconciler.SetUpstreams(Fleet(), MakeEngine(), At(0));
  REQUIRE(Orders(reconciler.Tick(At(5000))) == 5);
  reconciler.HandleOrderOutcome(core::UpstreamId("u1"), OrderOutcome::kFenced,
                                At(5100));
  CHECK(Orders(reconciler.Tick(At(5200))) == 0);
  reconciler.SetLeadership(false, 4, At(5300));
  CHECK(reconciler.Tick(At(9000)).empty());
}

}  // namespace foxquay::placement
