#include "foxquay/fleet/table.h"

#include <catch2/catch.hpp>

#include "foxquay/fleet/validate.h"

namespace foxquay::fleet {
namespace {

schema::Route MakeRoute(const std::string& prefix, const std::string& service) {
  schema::Route route;
  route.host = "example";
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(1);
  route.services.push_back({core::ServiceId(service), 1});
  return route;
}

schema::Fleet MakeFleet() {
  schema::Fleet fleet;
  fleet.version = 7;
  fleet.services.push_back({core::ServiceId("a"), 10, std::nullopt});
  fleet.services.push_back({core::ServiceId("b"), 10, std::nullopt});
  fleet.routes = {MakeRoute("/x/", "a"), MakeRoute("/x/deep/", "b")};
  fleet.workspaces.push_back({core::WorkspaceId("w"), {"k1", "k2"}, 3});
  return fleet;
}

}  // namespace

TEST_CASE("the longest prefix selects the route") {
  const Table table(MakeFleet());
  REQUIRE(table.FindRoute("example", "/x/deep/1") != nullptr);
  CHECK(table.FindRoute("example", "/x/deep/1")->path_prefix == "/x/deep/");
  CHECK(table.FindRoute("example:80", "/x/1?q=/x/deep/")->path_prefix == "/x/");
  CHECK(table.FindRoute("example", "/y/") == nullptr);
  CHECK(table.FindRoute("other", "/x/1") == nullptr);
}

TEST_CASE("only a complete API key identifies its workspace") {
  const Table table(MakeFleet());
  REQUIRE(table.FindWorkspace("k2") != nullptr);
  CHECK(table.FindWorkspace("k2")->id.value() == "w");
  CHECK(table.FindWorkspace("") == nullptr);
  CHECK(table.FindWorkspace("k") == nullptr);
}

// Guards against a request that runs for either of two workspaces, with the
// rank of either, by the order in which they are listed.
TEST_CASE("two workspaces of one name may not share an API key either") {
  schema::Fleet fleet = MakeFleet();
  fleet.workspaces.push_back({core::WorkspaceId("w"), {"k2"}, 1});
  CHECK(Validate(fleet).size() == 1);
  fleet.workspaces.pop_back();
  fleet.workspaces[0].api_keys.emplace_back("k2");
  CHECK(Validate(fleet).empty());
}

// Guards against requests without a key that run for a workspace whose list of
// keys contains an empty one.
TEST_CASE("an empty API key identifies nobody") {
  schema::Fleet fleet = MakeFleet();
  fleet.workspaces.push_back({core::WorkspaceId("blank"), {""}, std::nullopt});
  REQUIRE(Validate(fleet).empty());
  const Table table(fleet);
  CHECK(table.FindWorkspace("") == nullptr);
  CHECK(table.FindWorkspace("k1") != nullptr);
  fleet.workspaces.erase(fleet.workspaces.begin());
  CHECK(Table(fleet).NeedsKey());
}

TEST_CASE("services get requests by weight and none with a weight of 0") {
  schema::Route route = MakeRoute("/x/", "a");
  route.services = {{core::ServiceId("z"), 0},
                    {core::ServiceId("a"), 90},
                    {core::ServiceId("b"), 10}};
  CHECK(PickService(route, 0).value() == "a");
  CHECK(PickService(route, 0.89).value() == "a");
  CHECK(PickService(route, 0.91).value() == "b");
  CHECK(PickService(route, 0.999999).value() == "b");
}

TEST_CASE("all findings of a configuration are reported together") {
  CHECK(Validate(MakeFleet()).empty());
  schema::Fleet fleet = MakeFleet();
  fleet.routes[0].services[0].service = core::ServiceId("unknown");
  fleet.routes[1].path_prefix = "/x/";
  fleet.routes[1].timeout = {};
  fleet.routes.push_back(MakeRoute("/no-weight/", "a"));
  fleet.routes.back().services[0].weight = 0;
  fleet.routes.push_back(MakeRoute("/no-slash", "a"));
  fleet.workspaces.push_back(
      {core::WorkspaceId("thief"), {"k1"}, std::nullopt});
  CHECK(Validate(fleet).size() == 6);
}

}  // namespace foxquay::fleet
