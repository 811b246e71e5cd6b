#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "simulated_cluster.h"

namespace foxquay::consensus {

// The replica of a host whose disk was lost was replaced only by the new one of
// that host, or after 5 s: with a slow host the group had no majority after the
// loss of two more replicas, although a standby held the log.
TEST_CASE("a standby replaces a replica whose disk was lost") {
  constexpr std::size_t kLost = 4;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    SimulatedCluster cluster(5, 1, std::chrono::milliseconds(1000));
    cluster.Run(std::chrono::seconds(8), seed);
    cluster.Inject({FaultKind::kLoseDisk, kLost, 0});
    // The new replica of that host is running, but never catches up.
    cluster.Inject({FaultKind::kStallSyncs, kLost, 0});
    cluster.Run(std::chrono::seconds(4), seed);
    cluster.Inject({FaultKind::kCrash, 0, 0});
    cluster.Inject({FaultKind::kCrash, 1, 0});
    const Index before = cluster.oracle().commit();
    cluster.Run(std::chrono::seconds(8), seed);
    CAPTURE(cluster.Describe());
    CHECK(cluster.oracle().commit() > before + 1);
    CHECK(cluster.oracle().violation().empty());
  }
}

}  // namespace foxquay::consensus
