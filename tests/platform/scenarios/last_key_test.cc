#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

/// Bound of the site files on the time in which a change is in force.
constexpr std::chrono::milliseconds kInForceBound{2000};
constexpr std::chrono::seconds kPatience{30};

/// Sends requests with a revoked, an invented and an empty key to each entry
/// host until each has refused some, and checks that none reached an upstream.
void CheckAllRefused(Scenario& scenario) {
  const std::size_t arrivals = scenario.arrivals().size();
  const auto refused = [&scenario] {
    const auto found = scenario.statuses().find(401);
    return found == scenario.statuses().end() ? 0U : found->second;
  };
  const unsigned before = refused();
  const auto send = [&scenario] {
    for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
      for (const std::string& key :
           {scenario.config_operator().configured_key(),
            std::string("invented"), std::string()}) {
        scenario.SendPlainWithKey("read", entry, key);
      }
    }
  };
  scenario.Repeat(std::chrono::milliseconds(100), send);
  CHECK(scenario.RunUntil(
      [&] { return refused() >= before + 30 * soak::kEntryHosts; }, kPatience));
  scenario.StopRepeating();
  CHECK(scenario.arrivals().size() == arrivals);
}

}  // namespace

// Guards against a host that admits every key, or none needed, by what it
// learns of the last revocation after a restart of its own or of the control
// hosts.
TEST_CASE("no key works after the last one is revoked and hosts restart") {
  Scenario::Options options;
  options.models = 0;
  options.apps = 3;
  Scenario scenario(options);
  scenario.AwaitServing();
  soak::Operator& config_operator = scenario.config_operator();
  config_operator.RevokeAllKeys();
  REQUIRE(scenario.RunUntil(
      [&] {
        return config_operator.acknowledged() == config_operator.version();
      },
      kPatience));
  scenario.RunFor(kInForceBound);
  CheckAllRefused(scenario);
  // Every leader in turn ends.
  for (std::size_t host = 0; host < soak::kControlHosts; ++host) {
    scenario.cluster().Kill(host);
    scenario.RunFor(std::chrono::seconds(1));
    scenario.cluster().Start(host);
    scenario.RunFor(std::chrono::seconds(1));
  }
  CheckAllRefused(scenario);
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Kill(host);
  }
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Start(host);
  }
  CheckAllRefused(scenario);
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
