#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <variant>

#include "foxquay/consensus/replica.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntryBytes = 560'000;
constexpr std::size_t kStateBytes = 640'000;
/// Changes that are committed while the new replica answers once.
constexpr int kChangesForAnswer = 4;

/// A replica whose writes finish at once; messages that it sends are kept.
class Member {
 public:
  explicit Member(const std::string& name)
      : replica_(MakeOptions(name), {}, {}) {}

  void Handle(const Event& event, core::Instant now) {
    std::deque<Event> events = {event};
    while (!events.empty()) {
      const Event next = std::move(events.front());
      events.pop_front();
      for (Action& action : replica_.Handle(next, now)) {
        if (auto* persist = std::get_if<Persist>(&action)) {
          events.emplace_back(Persisted{persist->write_id});
        } else if (auto* save = std::get_if<SaveSnapshot>(&action)) {
          events.emplace_back(Persisted{save->write_id});
        } else if (std::holds_alternative<TakeSnapshot>(action)) {
          events.emplace_back(
              SnapshotTaken{replica_.applied(), std::string(kStateBytes, 's')});
        } else if (auto* send = std::get_if<Send>(&action)) {
          sent.push_back(std::move(*send));
        }
      }
    }
  }

  [[nodiscard]] const Replica& replica() const { return replica_; }

  std::deque<Send> sent;

 private:
  static Options MakeOptions(const std::string& name) {
    Options options;
    options.self = {core::HostId(name), 1};
    options.founders = {core::HostId("a")};
    options.standbys = {core::HostId("a"), core::HostId("b")};
    options.seed = 1;
    return options;
  }

  Replica replica_;
};

}  // namespace

// Guards against snapshots that follow each other so fast, while large changes
// go on, that a replica with an empty disk never has one whole.
TEST_CASE("a new replica gets a snapshot while large changes go on") {
  Member leader("a");
  Member joining("b");
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
