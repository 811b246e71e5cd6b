#include "foxquay/settings/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <string>

namespace foxquay::settings {
namespace {

constexpr const char* kValidSettings = R"(host:
  id: entry-1
  data_centre: welshpool
  region: perth
  roles: [entry, control]
  data_folder: /var/lib/foxquay
listeners:
  caller: 127.0.0.1:8080
  upstream: 127.0.0.1:8081
  admin: 127.0.0.1:8082
  peer: 127.0.0.1:8083
security:
  cluster: kellerup
  peer_key_file: /etc/foxquay/peer.key
  operator_token_file: /etc/foxquay/operator.token
  upstream_networks: [127.0.0.0/8]
)";

bool Has(const core::Findings& findings, int line, const std::string& path) {
  return std::any_of(findings.begin(), findings.end(),
                     [&](const core::Finding& finding) {
                       return finding.line == line && finding.path == path;
                     });
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a complete settings file has no findings") {
  const Loaded loaded = Parse(kValidSettings, "good.yaml");
  for (const core::Finding& finding : loaded.findings) {
    UNSCOPED_INFO(core::Format(finding));
  }
  REQUIRE(loaded.findings.empty());
  CHECK(loaded.settings.host.id.value() == "entry-1");
  CHECK(loaded.settings.limits.max_body_bytes == 1048576);
}

// Guards against validation that stops at the first finding.
TEST_CASE("all findings are reported with line and key path") {
  std::string text = Replace(kValidSettings, "127.0.0.1:8081", "localhost");
  text = Replace(text, "  cluster: kellerup\n", "");
  text += "limits:\n  drain_timeout: 10\n  color: red\n";
  const Loaded loaded = Parse(text, "bad.yaml");
  CHECK(loaded.findings.size() == 4);
  CHECK(Has(loaded.findings, 9, "listeners.upstream"));
  CHECK(Has(loaded.findings, 13, "security"));
  CHECK(Has(loaded.findings, 17, "limits.drain_timeout"));
  CHECK(Has(loaded.findings, 18, "limits.color"));
}

// Guards against second sends that are most of the load.
TEST_CASE("second sends are off by default and limited") {
  CHECK(Parse(kValidSettings, "s.yaml").settings.hedging.ratio == 0);
  const std::string text = std::string(kValidSettings) + "hedging:\n  ratio: ";
  CHECK(Parse(text + "0.2\n", "s.yaml").findings.empty());
  CHECK(Has(Parse(text + "0.21\n", "s.yaml").findings, 18, "hedging.ratio"));
}

// Guards against two hosts with the same id, which would share one vote.
TEST_CASE("a peer may not repeat an id or an address") {
  const std::string peers = R"(peers:
  - {id: entry-1, address: 127.0.0.1:9083, caller: 127.0.0.1:9080, data_centre: osborne, region: perth}
  - {id: entry-2, address: 127.0.0.1:9083, caller: 127.0.0.1:9081, data_centre: osborne, region: perth}
)";
  const Loaded loaded = Parse(kValidSettings + peers, "peers.yaml");
  REQUIRE(loaded.findings.size() == 2);
  CHECK(loaded.findings[0].path == "peers[0].id");
  CHECK(loaded.findings[1].path == "peers[1].address");
}

// Guards against a control host that keeps its votes in memory only.
TEST_CASE("a control host requires a data folder") {
  const Loaded loaded =
      Parse(Replace(kValidSettings, "  data_folder: /var/lib/foxquay\n", ""),
            "disk.yaml");
  REQUIRE(loaded.findings.size() == 1);
  CHECK(loaded.findings[0].path == "host.data_folder");
}

// Guards against a cluster that can never commit a change, since no host has
// the role control.
TEST_CASE("at least one host must have the role control") {
  const Loaded loaded = Parse(
      Replace(kValidSettings, "[entry, control]", "[entry]"), "entry.yaml");
  REQUIRE(loaded.findings.size() == 1);
  CHECK(loaded.findings[0].path == "host.roles");
}

TEST_CASE("invalid YAML produces one finding with its line") {
  const Loaded loaded = Parse("host: [1,\n", "broken.yaml");
  REQUIRE(loaded.findings.size() == 1);
  CHECK(loaded.findings[0].line > 0);
}

TEST_CASE("hosts that are discovered through seeds need no list of peers") {
  std::string text = Replace(kValidSettings, "[entry, control]", "[entry]");
  CHECK(Has(Parse(text, "f").findings, 5, "host.roles"));
  text += "join:\n  seeds: [10.0.0.1:80, 10.0.0.2:80]\n  bootstrap: true\n";
  const Loaded loaded = Parse(text, "f");
  CHECK(loaded.findings.empty());
  CHECK(loaded.settings.join.seeds.size() == 2);
  CHECK(loaded.settings.join.bootstrap);
}

TEST_CASE("key and token files are required unless security.open is true") {
  std::string text =
      Replace(kValidSettings, "  peer_key_file: /etc/foxquay/peer.key\n", "");
  CHECK(Parse(text, "f").findings.size() == 1);
  text = Replace(text, "  cluster: kellerup\n",
                 "  cluster: kellerup\n  open: true\n");
  CHECK(Parse(text, "f").findings.empty());
}

TEST_CASE("the budget ratio is a non-negative number") {
  const std::string budget = std::string(kValidSettings) + "budget:\n  ratio: ";
  CHECK(Parse(budget + "0.125\n", "f").settings.budget.ratio == 0.125);
  CHECK_FALSE(Parse(budget + "-1\n", "f").findings.empty());
  CHECK_FALSE(Parse(budget + "much\n", "f").findings.empty());
}

// Guards against a host that does not start because a computed bound has
// decimals, as a slack divided by three once had.
TEST_CASE("numbers and durations may have decimals") {
  const Loaded loaded =
      Parse(std::string(kValidSettings) +
                "budget: {slack: 66.66666666666667, window: 2.5s}\n"
                "limits: {grace: 1333.3333333333333ms}\n",
            "f");
  REQUIRE(loaded.findings.empty());
  CHECK(loaded.settings.budget.slack > 66.6);
  CHECK(loaded.settings.budget.window == std::chrono::milliseconds(2500));
  CHECK(loaded.settings.limits.grace > std::chrono::milliseconds(1333));
  CHECK(loaded.settings.limits.grace < std::chrono::milliseconds(1334));
}

// Guards against a setting that only a file can hold, which builds before it
// refuse then.
TEST_CASE("the environment replaces the time to catch up") {
  Loaded loaded = Parse(kValidSettings, "settings.yaml");
  setenv(kCatchUpVariable, "5.5", 1);
  ReadEnvironment(loaded);
  CHECK(loaded.findings.empty());
  CHECK(loaded.settings.join.catch_up == std::chrono::milliseconds(5500));
  setenv(kCatchUpVariable, "", 1);
  ReadEnvironment(loaded);
  CHECK(loaded.findings.empty());
  setenv(kCatchUpVariable, "soon", 1);
  ReadEnvironment(loaded);
  CHECK(loaded.findings.size() == 1);
  unsetenv(kCatchUpVariable);
}

}  // namespace foxquay::settings
