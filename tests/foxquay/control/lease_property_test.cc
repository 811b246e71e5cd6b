#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/control/in_force_tracker.h"
#include "foxquay/control/observer.h"
#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"
#include "steps.h"

namespace foxquay::control {
namespace {

using core::Duration;
using core::Instant;
using std::chrono::milliseconds;

/// Operations: w advances time, l advances it to the end of a lease, p polls, a
/// delivers a reply, c commits a change, t changes the leader, s starts a
/// process, e ends an incarnation, j gives a process a new incarnation, r
/// registers the incarnation, q confirms the leader by a quorum.
constexpr const char* kOps = "wwwwwwwwllppppppppppaaaaaaaaaaccctsejrrrrqqqqqq";

/// A clock that runs up to 1 % faster than the slowest one.
struct Clock {
  Duration offset{};
  int rate_error_permille = 0;

  [[nodiscard]] Instant At(Duration real) const {
    return Instant(offset + real + real * rate_error_permille / 1000);
  }
};

struct Process {
  Observer observer;
  core::HostId host;
  Clock clock;
};

struct Replica {
  State state;
  Clock clock;
  Duration confirmed{};  ///< Real time of its latest confirmation by a quorum.
};

struct PendingReply {
  std::size_t process = 0;
  schema::ConfigReply reply;
};

struct Commit {
  Duration at{};
  bool reported_in_force = false;  ///< Whether the leader reported it so.
};

/// Processes of three hosts, some of which continue to run after their
/// incarnation was ended; the leader; and the deposed leader, which still
/// replies to polls. Real time is the time of the slowest possible clock.
class Simulation {
 public:
  explicit Simulation(std::vector<int> rates) : rates_(std::move(rates)) {
    leader_.clock = NextClock();
    tracker_.emplace(leader_.state.config(), LeaderNow());
    for (unsigned host = 0; host < 3; ++host) Start(host);
  }

  void Run(const Step& step) {
    Process& process = processes_[step.host % processes_.size()];
    switch (step.op) {
      case 'w':
        now_ += milliseconds(step.pick * 20);
        return;
      case 'l':
        return WaitForLease(process);
      case 'q':
        leader_.confirmed = now_;
        return;
      case 'p':
        return Poll(step);
      case 'a':
        return DeliverReply(step.pick);
      case 'c':
        return Apply(
            schema::SetDefault{{"c" + std::to_string(index_),
                                leader_.state.config().revision(), "ada"},
                               "retry.budget",
                               step.pick % 100});
      case 't':
        return ChangeLeader();
      case 's':
        return Start(step.host % 3);
      case 'e':
        return Apply(schema::EndIncarnation{process.host,
                                            process.observer.incarnation()});
      case 'j':
        return process.observer.SetIncarnation(++incarnation_);
      case 'r':
        return Apply(schema::RegisterHost{
            process.host, process.observer.incarnation(), {}});
    }
  }

  /// Checks that no process admits requests under a configuration that lacks an
  /// entry which the leader reported in force or which was committed longer ago
  /// than the lease, and that entries are in force after two leases.
  void Check() {
    for (auto& [sequence, commit] : commits_) {
      const InForce status = tracker_->Check(sequence, LeaderNow());
      commit.reported_in_force = commit.reported_in_force || status.in_force;
      const bool due = now_ - commit.at >= core::WithClockError(kConfigLease);
      RC_ASSERT(status.in_force ||
                now_ - std::max(commit.at, leader_since_) < 2 * kConfigLease);
      if (!commit.reported_in_force && !due) continue;
      for (const Process& process : processes_) {
        const Admission admission =
            process.observer.Admit(process.clock.At(now_));
        RC_ASSERT(admission.state != AdmissionState::kOpen ||
                  process.observer.config().sequence() >= sequence);
      }
    }
  }

 private:
  Clock NextClock() {
    const int rate = rates_[clocks_++ % rates_.size()];
    return {std::chrono::hours(clocks_), rate};
  }
  Instant LeaderNow() const { return leader_.clock.At(now_); }

  /// Advances time to just before the end of a lease, where differences of the
  /// clock rates have an effect.
  void WaitForLease(const Process& process) {
    const auto end = process.observer.LeaseEnd();
    if (!end) return;
    const Duration left = *end - process.clock.At(now_);
    const Duration real =
        left * 1000 / (1000 + process.clock.rate_error_permille);
    now_ += std::max(Duration::zero(), real - milliseconds(1));
  }

  void Start(unsigned host) {
    const core::HostId id("h" + std::to_string(host));
    processes_.push_back({Observer(id, ++incarnation_), id, NextClock()});
  }

  template <class Command>
  void Apply(const Command& command) {
    const Config before = leader_.state.config();
    leader_.state.Apply(++index_, {},
                        schema::Encode(schema::ControlCommand(command)));
    schema::ConfigPoll poll;
    poll.sequence = before.sequence();
    for (const auto& entry : leader_.state.Answer(poll, {}).entries) {
      tracker_->HandleCommit(entry, LeaderNow());
      commits_[entry.sequence].at = now_;
    }
  }

  /// Makes another replica the leader; the deposed one keeps its state and its
  /// last confirmation.
  void ChangeLeader() {
    deposed_ = leader_;
    leader_.state = State::FromSnapshot(leader_.state.Snapshot()).value();
    leader_.clock = NextClock();
    leader_.confirmed = now_;
    leader_since_ = now_;
    tracker_.emplace(leader_.state.config(), LeaderNow());
  }

  /// Sends a poll, mostly to the leader, else to the deposed leader or another
  /// process.
  void Poll(const Step& step) {
    const std::size_t index = step.host % processes_.size();
    Process& process = processes_[index];
    const schema::ConfigPoll poll =
        process.observer.StartPoll(process.clock.At(now_));
    if (step.peer < 7) {
      tracker_->HandleApplied(poll.host, poll.incarnation, poll.sequence);
      replies_.push_back({index, Answer(leader_, poll)});
    } else if (step.peer < 9) {
      if (deposed_) replies_.push_back({index, Answer(*deposed_, poll)});
    } else {
      const Process& other = processes_[step.pick % processes_.size()];
      const auto reply = other.observer.Answer(poll, other.clock.At(now_));
      if (reply) replies_.push_back({index, *reply});
    }
  }

  schema::ConfigReply Answer(const Replica& replica,
                             const schema::ConfigPoll& poll) const {
    const Duration age =
        replica.clock.At(now_) - replica.clock.At(replica.confirmed);
    return replica.state.Answer(poll, age);
  }

  /// Delivers a reply, mostly a recent one; it may be delivered again later.
  void DeliverReply(unsigned pick) {
    if (replies_.empty()) return;
    const std::size_t window = pick % 4 == 0
                                   ? replies_.size()
                                   : std::min<std::size_t>(replies_.size(), 3);
    const PendingReply& pending =
        replies_[replies_.size() - 1 - pick / 4 % window];
    processes_[pending.process].observer.HandleReply(pending.reply);
  }

  std::vector<int> rates_;
  int clocks_ = 0;
  Duration now_{};
  Duration leader_since_{};
  Replica leader_;
  std::optional<Replica> deposed_;
  std::optional<InForceTracker> tracker_;
  std::vector<Process> processes_;
  std::vector<PendingReply> replies_;
  std::map<std::uint64_t, Commit> commits_;
  std::uint64_t index_ = 0;
  std::uint64_t incarnation_ = 0;
};

// Guards against a host that admits requests under a configuration that is
// older than the lease allows, or after the leader reported a newer one in
// force on all hosts.
TEST_CASE("no host admits requests under a superseded configuration",
          "[fuzz]") {
  REQUIRE(rc::check([] {
    const auto steps = *Steps(kOps, 24.0);
    Simulation simulation(Rates());
    for (const Step& step : steps) {
      simulation.Run(step);
      simulation.Check();
    }
  }));
}

}  // namespace
}  // namespace foxquay::control
