#include "foxquay/fleet/warnings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "foxquay/fleet/validate.h"

namespace foxquay::fleet {
namespace {

using std::chrono::milliseconds;

/// Returns a configuration without any warning: a plain route, and one to a
/// service whose smallest accelerator holds a quarter of the layers.
schema::Fleet MakeFleet() {
  schema::Fleet fleet;
  fleet.version = 7;
  schema::Route plain;
  plain.name = "plain";
  plain.host = "example";
  plain.path_prefix = "/x/";
  plain.timeout = milliseconds(2000);
  plain.target_latency = milliseconds(500);
  plain.max_attempts = 2;
  plain.services = {{core::ServiceId("app"), 1}};
  schema::Route stream = plain;
  stream.name = "stream";
  stream.path_prefix = "/x/y/";
  stream.kind = schema::RequestKind::kStream;
  stream.model = true;
  stream.target_gap = milliseconds(100);
  stream.services = {{core::ServiceId("llm"), 1}};
  fleet.routes = {plain, stream};
  schema::Engine engine;
  engine.slots = 8;
  engine.stride = 2;
  engine.step = milliseconds(10);
  engine.prefill_per_s = 10'000;
  engine.layers = 80;
  engine.max_stages = 4;
  engine.layer_mb = 100;
  engine.token_memory_mb = 1;
  engine.usual_prompt = 1000;
  engine.usual_answer = 100;
  engine.accelerators = {{"large", 4000, 3, 2}, {"small", 2100, 5, 4}};
  fleet.services = {{core::ServiceId("app"), 10, std::nullopt},
                    {core::ServiceId("llm"), 10, engine}};
  fleet.workspaces = {{core::WorkspaceId("w"), {"k1", "k2"}, 1}};
  fleet.limits = {16384, 1 << 20, milliseconds(3000), milliseconds(15000)};
  return fleet;
}

std::vector<std::string> PathsOf(const core::Findings& findings) {
  std::vector<std::string> paths;
  for (const core::Finding& finding : findings) paths.push_back(finding.path);
  return paths;
}

using Paths = std::vector<std::string>;

}  // namespace

TEST_CASE("a configuration without contradictions has no warnings") {
  CHECK(Validate(MakeFleet()).empty());
  CHECK(FindWarnings(MakeFleet()).empty());
  CHECK(FindWarnings(schema::Fleet()).empty());
}

// Guards against requests that miss the route meant for them without a sign.
TEST_CASE("routes that can never match are reported") {
  schema::Fleet fleet = MakeFleet();
  fleet.routes[0].host = "example:80";
  for (const char* prefix : {"/x y/", "/x?/", "/x#/", "/\t/"}) {
    CAPTURE(prefix);
    fleet.routes[1].path_prefix = prefix;
    CHECK(Validate(fleet).empty());
    CHECK(PathsOf(FindWarnings(fleet)) ==
          Paths{"routes[0].host", "routes[1].path_prefix"});
  }
}

TEST_CASE("entries without an effect are reported") {
  schema::Fleet fleet = MakeFleet();
  fleet.routes[0].services.push_back({core::ServiceId("llm"), 0});
  fleet.routes[0].max_attempts = 0;
  fleet.routes[0].resumable = true;
  fleet.routes[1].services.push_back({core::ServiceId("llm"), 2});
  fleet.routes[1].name = "plain";
  fleet.services.push_back({core::ServiceId("idle"), 10, std::nullopt});
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"routes[0].max_attempts", "routes[0].resumable",
              "routes[0].services", "routes[1].name", "routes[1].services",
              "services[2]"});
}

TEST_CASE("targets that no response can meet are reported") {
  schema::Fleet fleet = MakeFleet();
  fleet.routes[0].target_latency = milliseconds(2001);
  // On the fastest accelerator the usual prompt takes 200 ms and a pass 60 ms.
  fleet.routes[1].target_latency = milliseconds(199);
  fleet.routes[1].target_gap = milliseconds(59);
  CHECK(PathsOf(FindWarnings(fleet)) == Paths{"routes[0].target_latency",
                                              "routes[1].target_latency",
                                              "routes[1].target_gap"});
  fleet = MakeFleet();
  fleet.routes[0].target_latency = {};
  fleet.routes[0].target_gap = milliseconds(2001);
  fleet.routes[1].services = {{core::ServiceId("app"), 1}};
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"routes[0].target_latency", "routes[0].target_gap",
              "routes[1].services", "services[1]"});
}

TEST_CASE("a model that no chain of upstreams can hold is reported") {
  schema::Fleet fleet = MakeFleet();
  schema::Engine& engine = *fleet.services[1].engine;
  engine.accelerators[1].memory_mb = 99;
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"services[1].engine.accelerators[1].memory_mb"});
  engine.accelerators = {{"small", 2100, 3, 2}};
  // 8,000 MB for the layers and 1,100 MB for a request, in four stages.
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"services[1].engine.accelerators"});
  engine.accelerators.clear();
  engine.slots = 0;
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"services[1].engine.slots", "services[1].engine.accelerators"});
}

// Guards against customers who are locked out without a sign.
TEST_CASE("workspaces without a usable key are reported") {
  schema::Fleet fleet = MakeFleet();
  fleet.workspaces.push_back({core::WorkspaceId("v"), {"k3", "k3"}, 1});
  fleet.workspaces.push_back({core::WorkspaceId("w"), {}, 1});
  fleet.workspaces.push_back({core::WorkspaceId("u"), {"", " k4"}, 1});
  const core::Findings warnings = FindWarnings(fleet);
  CHECK(PathsOf(warnings) ==
        Paths{"workspaces[1].api_keys[1]", "workspaces[2].id",
              "workspaces[2].api_keys", "workspaces[3].api_keys[0]",
              "workspaces[3].api_keys[1]", "workspaces[3].api_keys"});
  for (const core::Finding& warning : warnings) {
    CHECK(core::Format(warning).find("k3") == std::string::npos);
  }
  // A list that is present and empty.
  fleet.workspaces = {schema::Workspace()};
  CHECK(PathsOf(FindWarnings(fleet)) == Paths{"workspaces"});
}

TEST_CASE("limits that contradict each other are reported") {
  schema::Fleet fleet = MakeFleet();
  fleet.limits = {2048, 1024, milliseconds(3000), milliseconds(2000)};
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"limits.max_header_bytes", "limits.header_timeout"});
  fleet.limits = {2048, 0, milliseconds(-1), milliseconds(-1)};
  CHECK(PathsOf(FindWarnings(fleet)) ==
        Paths{"limits.header_timeout", "limits.idle_timeout"});
}

// Guards against a change that is acknowledged without ever being in force.
TEST_CASE("a version that is not higher than the one in force is reported") {
  schema::Fleet next = MakeFleet();
  CHECK(FindSuccessionWarnings(MakeFleet(), next).size() == 1);
  next.version = 8;
  CHECK(FindSuccessionWarnings(MakeFleet(), next).empty());
}

}  // namespace foxquay::fleet
