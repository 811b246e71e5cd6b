#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <ostream>
#include <vector>

#include "simulated_cluster.h"

namespace foxquay::consensus {
namespace {

/// RapidCheck requires a model. It is empty because the oracle of
/// SimulatedCluster does the checks.
struct EmptyModel {};

using Command = rc::state::Command<EmptyModel, SimulatedCluster>;

rc::Gen<Fault> AnyFault(FaultKind last) {
  return rc::gen::apply(
      [](int kind, std::size_t replica, std::size_t detail) {
        return Fault{static_cast<FaultKind>(kind), replica, detail};
      },
      rc::gen::inRange(0, static_cast<int>(last) + 1),
      rc::gen::inRange<std::size_t>(0, 2 * Fault::kLeader),
      rc::gen::inRange<std::size_t>(0, 60));
}

/// Generates at the nominal size in all cases: RapidCheck starts with small
/// sizes, which would leave out some faults.
template <class T>
rc::Gen<T> AtNominalSize(rc::Gen<T> gen) {
  return rc::gen::resize(rc::kNominalSize, std::move(gen));
}

/// Ends some faults, injects two new ones, either of which may be none, and
/// runs the cluster for a while.
class InjectFaults : public Command {
 public:
  explicit InjectFaults(FaultKind last)
      : first_(*AtNominalSize(AnyFault(last))),
        second_(*AtNominalSize(AnyFault(last))),
        span_(*AtNominalSize(rc::gen::inRange(1, 200))),
        seed_(*AtNominalSize(rc::gen::inRange(0, 1 << 30))) {}

  void apply(EmptyModel& /*state*/) const override {}

  void run(const EmptyModel& /*state*/,
           SimulatedCluster& cluster) const override {
    cluster.Recover(40, static_cast<std::uint32_t>(seed_));
    cluster.Inject(first_);
    cluster.Inject(second_);
    cluster.Run(std::chrono::milliseconds(5) * span_,
                static_cast<std::uint32_t>(seed_));
    RC_ASSERT(cluster.oracle().violation() == "");
  }

  void show(std::ostream& out) const override {
    for (const Fault& fault : {first_, second_}) {
      out << static_cast<int>(fault.kind) << "(" << fault.replica << ","
          << fault.detail << ") ";
    }
    out << "some recover, run " << span_ * 5 << " ms, seed " << seed_;
  }

 private:
  Fault first_;
  Fault second_;
  int span_;
  int seed_;
};

bool InvariantsHold(std::size_t founders, std::size_t standbys, FaultKind last,
                    std::size_t voters = 0) {
  return rc::check([=] {
    // A narrow range of election timeouts makes elections collide; a wide one
    // makes candidates wait long.
    const int max_election = *rc::gen::element(550, 1000, 2000);
    SimulatedCluster cluster(founders, standbys,
                             std::chrono::milliseconds(max_election), voters);
    cluster.Run(std::chrono::seconds(8), 1);
    constexpr int kSequences = 3;
    for (int sequence = 0; sequence < kSequences; ++sequence) {
      rc::state::check(EmptyModel{}, cluster, [=](const EmptyModel&) {
        return rc::gen::exec([=] {
          return std::shared_ptr<const Command>(
              std::make_shared<InjectFaults>(last));
        });
      });
    }
    cluster.CheckRecovery();
    RC_ASSERT(cluster.oracle().violation() == "");
  });
}

}  // namespace

// Guards against lost or reordered committed entries, two leaders in one term,
// a lease that outlasts its leadership, and a group that does not recover after
// faults.
TEST_CASE("three replicas keep every committed entry", "[fuzz]") {
  REQUIRE(InvariantsHold(3, 0, FaultKind::kStallSyncs));
}

TEST_CASE("five replicas keep every committed entry", "[fuzz]") {
  REQUIRE(InvariantsHold(5, 0, FaultKind::kStallSyncs));
}

// Guards also against votes of a replica whose disk was lost and against unsafe
// membership changes.
TEST_CASE("three replicas and a standby survive the loss of disks", "[fuzz]") {
  REQUIRE(InvariantsHold(3, 1, FaultKind::kLoseDisk));
}

TEST_CASE("five replicas and a standby survive the loss of disks", "[fuzz]") {
  REQUIRE(InvariantsHold(5, 1, FaultKind::kLoseDisk));
}

// Guards against a group that does not grow beyond its founders, and against
// growth that loses entries committed by the founders.
TEST_CASE("three founders and three standbys grow to five voters", "[fuzz]") {
  REQUIRE(InvariantsHold(3, 3, FaultKind::kLoseDisk, 5));
}

}  // namespace foxquay::consensus
