#include "loaded_cluster.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace foxquay::daemon {
namespace {

using std::chrono::seconds;

/// Part of its time that a control host may spend on messages when nothing
/// happens; the rest is for a loss of control hosts and for large changes.
constexpr double kCalm = 0.5;

LoadedClusterOptions Sized(std::size_t hosts, std::size_t controls,
                           std::uint64_t seed) {
  LoadedClusterOptions options;
  options.hosts = hosts;
  options.controls = controls;
  options.upstreams = hosts * 4 / 5;
  options.seed = seed;
  return options;
}

LoadedClusterOptions AnySize(std::uint64_t seed) {
  struct Size {
    std::size_t hosts;
    std::size_t controls;
  };
  const auto size =
      GENERATE(Size{8, 3}, Size{60, 3}, Size{291, 5}, Size{730, 13});
  return Sized(size.hosts, size.controls, seed);
}

// Guards against control hosts that are kept busy by hosts that move because
// the control hosts are busy.
TEST_CASE("control hosts that were overloaded recover once they have time") {
  const LoadedClusterOptions options = AnySize(GENERATE(1, 2));
  CAPTURE(options.hosts, options.seed);
  LoadedCluster cluster(options);
  cluster.SetSlowdown(6);
  cluster.Run(seconds(12));
  cluster.SetSlowdown(1);
  cluster.Run(seconds(8));
  const std::uint64_t term = cluster.term();
  cluster.Run(seconds(4));
  CAPTURE(cluster.busy(), cluster.moves(), term);
  CHECK(cluster.term() == term);
  CHECK(cluster.leader());
  CHECK(cluster.serving() == options.hosts);
  CHECK(cluster.busy() < kCalm);
}

// Guards against leaders that step down because their followers are busy with
// polls of hosts.
TEST_CASE("a start of all hosts loses no leader") {
  const LoadedClusterOptions options = AnySize(GENERATE(1, 2));
  const double slowdown = GENERATE(1.0, 1.5);
  CAPTURE(options.hosts, options.seed, slowdown);
  LoadedCluster cluster(options);
  cluster.SetSlowdown(slowdown);
  cluster.Run(seconds(14));
  CAPTURE(cluster.moves());
  CHECK(cluster.term() == 1);
  CHECK(cluster.leader());
  CHECK(cluster.serving() == options.hosts);
}

// Guards against requests to an upstream whose leave was acknowledged, by hosts
// that were current by a control host that did not know of it.
TEST_CASE("no host is current without a leave that has been acknowledged") {
  const std::size_t hosts = GENERATE(60, 291);
  const LoadedClusterOptions options = Sized(hosts, hosts > 60 ? 5 : 3, 1);
  const double slowdown = GENERATE(1.0, 2.0, 4.0);
  CAPTURE(options.hosts, slowdown);
  LoadedCluster cluster(options);
  cluster.Run(seconds(12));
  cluster.SetSlowdown(slowdown);
  cluster.Run(seconds(2));
  cluster.Leave();
  cluster.Run(seconds(4));
  const auto& leave = cluster.leave();
  REQUIRE(leave.acknowledged);
  CAPTURE(core::ToMilliseconds(*leave.acknowledged), leave.incomplete);
  CHECK(*leave.acknowledged <=
        roster::kSpreadTimeout + std::chrono::milliseconds(1));
  CHECK_FALSE(leave.incomplete);
  CHECK(leave.misled == 0);
  if (slowdown == 1) {
    REQUIRE(leave.hosts);
    CHECK(*leave.hosts - *leave.acknowledged < seconds(1));
  }
}

}  // namespace
}  // namespace foxquay::daemon
