#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "member.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntryBytes = 560'000;
constexpr std::size_t kStateBytes = 640'000;
/// Changes that are committed while the new replica answers once.
constexpr int kChangesForAnswer = 4;

Options MakeOptions(const std::string& name) {
  Options options;
  options.self = {core::HostId(name), 1};
  options.founders = {core::HostId("a")};
  options.standbys = {core::HostId("a"), core::HostId("b")};
  options.seed = 1;
  return options;
}

}  // namespace

// Guards against snapshots that follow each other so fast, while large changes
// go on, that a replica with an empty disk never has one whole.
TEST_CASE("a new replica gets a snapshot while large changes go on") {
  Member leader(MakeOptions("a"), kStateBytes);
  Member joining(MakeOptions("b"), kStateBytes);
  core::Instant now(std::chrono::seconds(1));
  std::uint64_t proposal = 1;
  const auto exchange = [&now](Member& from, Member& to) {
    for (Send& send : std::exchange(from.sent, {})) {
      to.Handle(Received{std::move(send.message)}, now);
    }
  };
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(10);
    leader.Handle(Tick{}, now);
    if (leader.replica().role() == Role::kLeader) {
      leader.Handle(Propose{ProposalId(proposal++),
                            std::string(kEntryBytes, 'e'), core::WallTime()},
                    now);
    }
    // It joins when the leader has taken its first snapshot.
    if (proposal < 40) {
      leader.sent.clear();
      continue;
    }
    if (step % kChangesForAnswer != 0) continue;
    joining.Handle(Tick{}, now);
    exchange(joining, leader);
    exchange(leader, joining);
  }
  CHECK(joining.replica().commit() > 0);
  CHECK(leader.replica().log_bytes() < std::size_t{40} << 20U);
}

}  // namespace foxquay::consensus
