#include "foxquay/fleet/sizes.h"

#include <catch2/catch.hpp>
#include <string>

#include "foxquay/fleet/validate.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::fleet {

// The finding named neither the field nor its size.
TEST_CASE("a field that is too large is named with its size and the limit") {
  schema::Fleet fleet;
  fleet.workspaces.resize(2);
  fleet.workspaces[0].id = core::WorkspaceId("first");
  fleet.workspaces[1].id = core::WorkspaceId("second");
  for (std::size_t key = 0; key <= schema::Workspace::kMaxApiKeys; ++key) {
    fleet.workspaces[1].api_keys.push_back("key-" + std::to_string(key));
  }
  const core::Findings keys = FindOversizes(fleet);
  REQUIRE(keys.size() == 1);
  CHECK(keys[0].path == "workspaces[1].api_keys");
  CHECK(keys[0].message == "has 257 entries; at most 256 are allowed");

  fleet.workspaces[1].api_keys.resize(schema::Workspace::kMaxApiKeys);
  CHECK(FindOversizes(fleet).empty());
  fleet.workspaces[1].api_keys[3] = std::string(129, 'k');
  const core::Findings key = FindOversizes(fleet);
  REQUIRE(key.size() == 1);
  CHECK(key[0].path == "workspaces[1].api_keys[3]");
  CHECK(key[0].message == "has 129 bytes; at most 128 are allowed");
}

TEST_CASE("every name and list of a configuration is checked") {
  const auto count = [](const auto& change) {
    schema::Fleet fleet;
    schema::Route route;
    route.services.push_back({core::ServiceId("app"), 1});
    fleet.routes.push_back(route);
    fleet.services.push_back({core::ServiceId("app"), 1, schema::Engine()});
    fleet.services[0].engine->accelerators.resize(1);
    change(fleet);
    return FindOversizes(fleet).size();
  };
  const std::string long_name(2000, 'n');
  using F = schema::Fleet;
  CHECK(count([](F&) {}) == 0);
  CHECK(count([&](F& f) { f.routes[0].name = long_name; }) == 1);
  CHECK(count([&](F& f) { f.routes[0].host = long_name; }) == 1);
  CHECK(count([&](F& f) { f.routes[0].path_prefix = long_name; }) == 1);
  CHECK(count([&](F& f) { f.routes[0].services.resize(65); }) == 1);
  CHECK(count([&](F& f) {
          f.routes[0].services[0].service = core::ServiceId(long_name);
        }) == 1);
  CHECK(count([&](F& f) { f.routes.resize(8193); }) == 1);
  CHECK(count([&](F& f) { f.services.resize(1025); }) == 1);
  CHECK(count([&](F& f) { f.services[0].id = core::ServiceId(long_name); }) ==
        1);
  CHECK(count([&](F& f) { f.services[0].engine->accelerators.resize(65); }) ==
        1);
  CHECK(count([&](F& f) {
          f.services[0].engine->accelerators[0].kind = long_name;
        }) == 1);
  CHECK(count([](F& f) { f.workspaces.resize(8193); }) == 1);
}

TEST_CASE("a configuration that is too large states its size and the limit") {
  schema::PutFleet command;
  command.source = std::string(schema::kMaxFleetBytes, 's');
  command.fleet = std::string(schema::kMaxFleetBytes, 'f');
  CHECK(CheckSize(command).empty());
  command.fleet += 'f';
  const core::Findings findings = CheckSize(command);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].message ==
        "the encoded form of the configuration takes 700001 bytes; at most "
        "700000 are allowed");
  command.source += 's';
  CHECK(CheckSize(command).size() == 2);
}

}  // namespace foxquay::fleet
