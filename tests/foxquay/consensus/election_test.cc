#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "simulated_cluster.h"

namespace foxquay::consensus {

// Replicas on busy hosts answered votes later than the candidate's timeout, so
// that it started anew each time and no leader was elected for half a minute.
TEST_CASE("a leader is elected although votes take longer than the timeout") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    SimulatedCluster cluster(5, 0, std::chrono::milliseconds(1000));
    cluster.Run(std::chrono::seconds(4), seed);
    cluster.SetMinDelay(std::chrono::milliseconds(650));
    cluster.Inject({FaultKind::kRestart, Fault::kLeader, 0});
    cluster.Run(std::chrono::seconds(20), seed);
    const std::size_t before = cluster.decided();
    cluster.Run(std::chrono::seconds(10), seed + 100);
    CAPTURE(cluster.Describe());
    CHECK(cluster.decided() > before + 5);
    cluster.SetMinDelay({});
    cluster.CheckRecovery();
    CHECK(cluster.oracle().violation().empty());
  }
}

}  // namespace foxquay::consensus
