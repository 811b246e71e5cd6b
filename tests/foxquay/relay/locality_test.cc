#include "foxquay/relay/locality.h"

#include <catch2/catch.hpp>

namespace foxquay::relay {
namespace {

const core::DataCentreId kA("a");
const core::DataCentreId kB("b");
const core::DataCentreId kC("c");

/// Returns the part of all requests that goes to each data centre, and in
/// `stays` the part that stays in its own.
CentreShares Flow(const CentreShares& hosts, const CentreShares& chains,
                  double strength, double& stays) {
  CentreShares flow;
  stays = 0;
  for (const auto& [own, share] : hosts) {
    const CentreShares factors = PreferLocal(own, hosts, chains, strength);
    for (const auto& [centre, factor] : factors) {
      const double part = share * factor * chains.at(centre);
      flow[centre] += part;
      if (centre == own) stays += part;
    }
  }
  return flow;
}

}  // namespace

// Guards against preferences that use some chains more than the mix assumes.
TEST_CASE("hosts together use each data centre by its share of the chains") {
  const CentreShares hosts = {{kA, 0.4}, {kB, 0.35}, {kC, 0.25}};
  const CentreShares chains = {{kA, 0.2}, {kB, 0.45}, {kC, 0.35}};
  for (const double strength : {0.0, 0.5, 1.0}) {
    double stays = 0;
    const CentreShares flow = Flow(hosts, chains, strength, stays);
    for (const auto& [centre, share] : chains) {
      CHECK(flow.at(centre) == Approx(share));
    }
    if (strength == 1) CHECK(stays == Approx(0.2 + 0.35 + 0.25));
  }
}

TEST_CASE("equal shares of hosts and chains keep all requests local") {
  const CentreShares shares = {{kA, 1}, {kB, 1}, {kC, 1}};
  const CentreShares factors = PreferLocal(kA, shares, shares, 1);
  CHECK(factors.at(kA) == Approx(3));
  CHECK(factors.at(kB) == Approx(0));
  CHECK(factors.at(kC) == Approx(0));
}

TEST_CASE(
    "a data centre without chains or of unknown hosts has no preference") {
  const CentreShares hosts = {{kA, 1}, {kB, 1}};
  const CentreShares chains = {{kB, 1}, {kC, 1}};
  const CentreShares none = PreferLocal(kA, hosts, chains, 1);
  // Data centre b serves its own hosts.
  CHECK(none.at(kB) == Approx(0));
  CHECK(none.at(kC) == Approx(2));
  const CentreShares unknown = PreferLocal(kC, hosts, chains, 1);
  CHECK(unknown.at(kB) == 1);
  CHECK(unknown.at(kC) == 1);
}

}  // namespace foxquay::relay
