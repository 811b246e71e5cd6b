#include "platform/config_check.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/fleet.h"
#include "platform/json.h"

namespace foxquay::platform {
namespace {

constexpr const char* kDocument =
    R"({"version":7,
        "routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe",
          "timeout_ms":2000,"target_latency_ms":500,"service":"app"}],
        "services":[{"name":"app","max_connections":9}],
        "tenants":[{"name":"w","api_keys":["a-key-of-w-1"]}]})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

ConfigCheck Check(const std::string& document) {
  core::Findings unreadable;
  return CheckConfig(document, std::nullopt, unreadable);
}

std::vector<std::string> PathsOf(const core::Findings& findings) {
  std::vector<std::string> paths;
  for (const core::Finding& finding : findings) paths.push_back(finding.path);
  return paths;
}

using Paths = std::vector<std::string>;

}  // namespace

TEST_CASE("a configuration without findings is valid") {
  const ConfigCheck check = Check(kDocument);
  CHECK(check.version == 7);
  CHECK(check.errors.empty());
  CHECK(check.warnings.empty());
  CHECK(FormatAsText(check) == "version 7 is valid: 0 errors, 0 warnings\n");
}

// Guards against operators who mend one error to be told of the next.
TEST_CASE("errors of reading and of validation are reported together") {
  const std::string unreadable = Replace(
      kDocument, R"("routes":[)",
      R"("routes":[{"host":"h","path_prefix":"/q/","kind":"odd","timeout_ms":0,"service":"x"},
          {"host":"h","path_prefix":"/s","kind":"safe","timeout_ms":9,"service":"x"},)");
  const ConfigCheck check = Check(unreadable);
  CHECK(PathsOf(check.errors) ==
        Paths{"routes[0].kind", "routes[1].path_prefix", "routes[1].backends"});
  CHECK(Check("{").errors.size() == 1);
  // A service that cannot be read is not one that is missing.
  CHECK(PathsOf(Check(Replace(kDocument, R"("name":"app")", R"("name":1)"))
                    .errors) == Paths{"services[0].name"});
  // Control hosts refuse what no message can hold.
  CHECK(Check(Replace(kDocument, R"("h")", '"' + std::string(300, 'h') + '"'))
            .errors.size() == 1);
}

TEST_CASE("findings name the members of the document") {
  CHECK(ToDocumentPath("routes[3].target_latency") ==
        "routes[3].target_latency_ms");
  CHECK(ToDocumentPath("services[0].engine.accelerators[a.b[1].memory_mb") ==
        "services[0].engine.kinds[a.b[1].size_mb");
  CHECK(ToDocumentPath("workspaces[1].api_keys[2]") ==
        "tenants[1].api_keys[2]");
  CHECK(ToDocumentPath("limits.idle_timeout") == "limits.idle_timeout_ms");
  CHECK(ToDocumentPath("version") == "version");
  CHECK(ToDocumentPath("").empty());
}

TEST_CASE("a version is compared with the one in force") {
  core::Findings unreadable;
  const std::string next =
      Replace(Replace(kDocument, R"("timeout_ms":2000)", R"("timeout_ms":400)"),
              R"(["a-key-of-w-1"])", "[]");
  const ConfigCheck check = CheckConfig(next, kDocument, unreadable);
  CHECK(unreadable.empty());
  CHECK(PathsOf(check.warnings) == Paths{"routes[0].target_latency_ms",
                                         "tenants[0].api_keys", "tenants",
                                         "version"});
  const std::string text = FormatAsText(check);
  CHECK(text.find("changed: routes h/p/\n  timeout_ms: 2000 ms -> 400 ms\n") !=
        std::string::npos);
  CHECK(text.find("changed: tenants w\n"
                  "  api_keys: a-k*** (12 characters) -> -\n") !=
        std::string::npos);
  const auto json = ParseJson(FormatAsJson(check));
  REQUIRE(json);
  CHECK((*json)["valid"] == true);
  CHECK((*json)["compared_version"] == 7);
  CHECK((*json)["differences"][1]["fields"][0]["field"] == "api_keys");
  CHECK(json->dump().find("a-key-of-w-1") == std::string::npos);
}

TEST_CASE("a version in force that cannot be read is not compared") {
  core::Findings unreadable;
  const ConfigCheck check = CheckConfig(kDocument, "{}", unreadable);
  CHECK_FALSE(unreadable.empty());
  CHECK_FALSE(check.compared_version);
  CHECK(check.errors.empty());
}

}  // namespace foxquay::platform
