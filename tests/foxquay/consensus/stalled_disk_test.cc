#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "simulated_cluster.h"

namespace foxquay::consensus {

// A leader applied and reported a change only when it was on its own disk, also
// if a quorum had it.
TEST_CASE("changes are decided while the leader's disk does not answer") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    SimulatedCluster cluster(3, 0, std::chrono::milliseconds(1000));
    cluster.Run(std::chrono::seconds(4), seed);
    cluster.Inject({FaultKind::kStallSyncs, Fault::kLeader, 0});
    const std::size_t before = cluster.decided();
    cluster.Run(std::chrono::seconds(4), seed);
    CAPTURE(cluster.Describe());
    CHECK(cluster.decided() > before + 5);
    cluster.CheckRecovery();
    CHECK(cluster.oracle().violation().empty());
  }
}

}  // namespace foxquay::consensus
