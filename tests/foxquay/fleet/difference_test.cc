#include "foxquay/fleet/difference.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace foxquay::fleet {
namespace {

schema::Fleet MakeFleet() {
  schema::Fleet fleet;
  fleet.version = 7;
  schema::Route route;
  route.host = "example";
  route.path_prefix = "/x/";
  route.timeout = std::chrono::seconds(1);
  route.services.push_back({core::ServiceId("a"), 1});
  fleet.routes = {route};
  schema::Engine engine;
  engine.layers = 80;
  engine.accelerators = {{"l4", 21600, 16, 8.2}};
  fleet.services = {{core::ServiceId("a"), 10, engine}};
  fleet.workspaces = {{core::WorkspaceId("w"), {"key-number-one"}, 3}};
  return fleet;
}

}  // namespace

TEST_CASE("equal configurations of two versions do not differ") {
  schema::Fleet next = MakeFleet();
  next.version = 9;
  CHECK(Compare(MakeFleet(), next).empty());
}

TEST_CASE("added, removed and changed objects are named") {
  const schema::Fleet before = MakeFleet();
  schema::Fleet after = before;
  after.routes[0].timeout = std::chrono::milliseconds(1500);
  after.routes[0].services = {{core::ServiceId("a"), 90},
                              {core::ServiceId("b"), 10}};
  after.routes.push_back(before.routes[0]);
  after.routes[1].path_prefix = "/y/";
  after.services[0].engine->accelerators[0].pace = 15.5;
  after.services.push_back({core::ServiceId("b"), 5, std::nullopt});
  after.limits.max_body_bytes = 4096;
  const std::vector<Difference> differences = Compare(before, after);
  REQUIRE(differences.size() == 5);
  CHECK(differences[0] == Difference{DifferenceKind::kChanged,
                                     "routes",
                                     "example/x/",
                                     {{"services", "a (1)", "a (90), b (10)"},
                                      {"timeout", "1000 ms", "1500 ms"}}});
  CHECK(differences[1].kind == DifferenceKind::kAdded);
  CHECK(differences[1].name == "example/y/");
  CHECK(differences[2] ==
        Difference{DifferenceKind::kChanged,
                   "services",
                   "a",
                   {{"engine.accelerators[l4].pace", "16", "15.5"}}});
  CHECK(differences[3].name == "b");
  CHECK(differences[4] == Difference{DifferenceKind::kChanged,
                                     "limits",
                                     "",
                                     {{"max_body_bytes", "0", "4096"}}});
  const std::vector<Difference> back = Compare(after, before);
  REQUIRE(back.size() == 5);
  CHECK(back[1].kind == DifferenceKind::kRemoved);
}

// Guards against keys in the terminals and logs of those who compare versions.
TEST_CASE("API keys that were added or removed are not shown whole") {
  const schema::Fleet before = MakeFleet();
  schema::Fleet after = before;
  after.workspaces[0].api_keys = {"key-number-two", "short"};
  const std::vector<Difference> differences = Compare(before, after);
  REQUIRE(differences.size() == 1);
  CHECK(differences[0].fields ==
        std::vector<FieldDifference>{{"api_keys", "key*** (14 characters)", ""},
                                     {"api_keys", "", "key*** (14 characters)"},
                                     {"api_keys", "", "*** (5 characters)"}});
}

// Guards against a fleet that is opened to everybody without a sign.
TEST_CASE("whether requests need a key is compared") {
  const schema::Fleet before = MakeFleet();
  schema::Fleet after = before;
  after.workspaces.clear();
  std::vector<Difference> differences = Compare(before, after);
  REQUIRE(differences.size() == 2);
  CHECK(differences[0].fields ==
        std::vector<FieldDifference>{{"requests need a key", "yes", "no"}});
  CHECK(differences[1].kind == DifferenceKind::kRemoved);
  // A list that is present and empty.
  after.workspaces = {schema::Workspace()};
  differences = Compare(before, after);
  REQUIRE(differences.size() == 1);
  CHECK(differences[0].name == "w");
}

}  // namespace foxquay::fleet
