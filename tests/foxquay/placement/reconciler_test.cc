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

TEST_CASE("only a leader sends orders, and only after the settle time") {
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

// Guards against copies that are placed over the first upstreams of a start,
// while the others are only added to them.
TEST_CASE("the first orders wait for upstreams that start together") {
  Reconciler reconciler;
  reconciler.SetLeadership(true, 3, At(0));
  std::vector<schema::Announcement> fleet;
  for (int at = 2000; at <= 3500; at += 500) {
    fleet.push_back(Empty("u" + std::to_string(at)));
    reconciler.SetUpstreams(fleet, MakeEngine(), At(at));
    CHECK(Orders(reconciler.Tick(At(at + 400))) == 0);
  }
  fleet.push_back(Empty("last"));
  reconciler.SetUpstreams(fleet, MakeEngine(), At(4000));
  CHECK(Orders(reconciler.Tick(At(4900))) == 0);
  CHECK(Orders(reconciler.Tick(At(5000))) == 5);
}

// Guards against a new leader that sends its first orders without the order
// counts that upstreams have from the previous leader; all of these would be
// rejected as mismatches.
TEST_CASE("a new leader requests the order counts before it sends orders") {
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

// Guards against an inquiry whose answer still shows the state before the one
// that the order did not match. The next order then fails in the same way; the
// observed effect was orders that alternated between two plans for seconds.
TEST_CASE("a mismatched order is followed by an inquiry after the report lag") {
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

// An order without an answer may still take effect seconds later.
TEST_CASE(
    "an unanswered order is followed by an inquiry before the next order") {
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
  SECTION("the order was not accepted") {
    reconciler.HandleReport(id, Report{0, {}, false}, At(6300));
    const std::vector<Action> again = reconciler.Tick(At(6400));
    REQUIRE(Orders(again) == 1);
    CHECK(std::get<Order>(again[0]).expected == 0);
  }
  SECTION("the order is in progress") {
    reconciler.HandleReport(id, Report{1, {}, true}, At(6300));
    CHECK(reconciler.Tick(At(6400)).empty());
  }
}

TEST_CASE("a restarted upstream is sent a new order") {
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

TEST_CASE("a fenced leader backs off before it sends another order") {
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
