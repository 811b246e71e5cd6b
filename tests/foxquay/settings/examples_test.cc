#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <set>
#include <string>
#include <vector>

#include "foxquay/settings/settings.h"

namespace foxquay::settings {
namespace {

using Deployment = std::vector<schema::Settings>;

/// Loads every file in a folder of the examples; fails the test on findings.
Deployment LoadFolder(const std::string& name) {
  Deployment deployment;
  const std::filesystem::path folder =
      std::filesystem::path(FOXQUAY_EXAMPLES) / name;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const Loaded loaded = Load(entry.path().string());
    for (const core::Finding& finding : loaded.findings) {
      FAIL_CHECK(core::Format(finding));
    }
    CHECK(loaded.settings.host.id.value() == entry.path().stem().string());
    deployment.push_back(loaded.settings);
  }
  return deployment;
}

bool Has(const schema::HostSettings& host, schema::Role role) {
  return std::find(host.roles.begin(), host.roles.end(), role) !=
         host.roles.end();
}

/// Checks that `observer` lists a host as the host's own file describes it.
void CheckPeer(const schema::Settings& observer, const schema::Settings& host) {
  INFO(observer.host.id.value() + " on " + host.host.id.value());
  const auto peer = std::find_if(
      observer.peers.begin(), observer.peers.end(),
      [&](const auto& candidate) { return candidate.id == host.host.id; });
  REQUIRE(peer != observer.peers.end());
  CHECK(peer->address == host.listeners.peer);
  CHECK(peer->caller == host.listeners.caller);
  CHECK(peer->data_centre == host.host.data_centre);
  CHECK(peer->region == host.host.region);
  CHECK(peer->control == Has(host.host, schema::Role::kControl));
  CHECK(peer->standby == Has(host.host, schema::Role::kStandby));
  CHECK(observer.security.cluster == host.security.cluster);
}

}  // namespace

// Guards against examples that the parser rejects or that describe another host
// wrongly; either would show only when a cluster is started from them.
TEST_CASE("the example settings are accepted and agree with each other") {
  const std::string name = GENERATE("azraq", "kellerup");
  const Deployment deployment = LoadFolder(name);
  REQUIRE(deployment.size() == 8);
  for (const schema::Settings& observer : deployment) {
    CHECK(observer.peers.size() == 7);
    for (const schema::Settings& host : deployment) {
      if (observer.host.id != host.host.id) CheckPeer(observer, host);
    }
  }
}

// Guards against examples that lose their quorum when one data centre fails.
TEST_CASE("the example replicas are in three data centres") {
  const std::string name = GENERATE("azraq", "kellerup");
  std::set<std::string> data_centres;
  int replicas = 0;
  int standbys = 0;
  for (const schema::Settings& settings : LoadFolder(name)) {
    if (Has(settings.host, schema::Role::kControl)) {
      ++replicas;
      data_centres.insert(settings.host.data_centre.value());
    }
    if (Has(settings.host, schema::Role::kStandby)) ++standbys;
  }
  CHECK(replicas == 3);
  CHECK(data_centres.size() == 3);
  CHECK(standbys == 2);
}

}  // namespace foxquay::settings
