#ifndef FOXQUAY_TESTS_DAEMON_LOADED_CLUSTER_H_
#define FOXQUAY_TESTS_DAEMON_LOADED_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/consensus/replica.h"
#include "foxquay/core/time.h"
#include "foxquay/membership/parent_selector.h"
#include "foxquay/membership/poll_queue.h"
#include "foxquay/roster/roster.h"
#include "foxquay/roster/spread.h"
#include "foxquay/schema/consensus.h"
#include "foxquay/schema/roster.h"

namespace foxquay::daemon {

struct LoadedClusterOptions {
  std::size_t hosts = 8;
  std::size_t controls = 3;
  std::size_t upstreams = 40;
  std::uint64_t seed = 1;
};

/// Control hosts of 0.075 cores and the hosts that follow them. Every message
/// takes the time of its receiver that it takes there, in proportion to what it
/// holds; the replicas, feeds and choices of parents are the product's.
class LoadedCluster {
 public:
  /// All hosts start within half a second and know only the control hosts.
  explicit LoadedCluster(const LoadedClusterOptions& options);

  /// Makes control hosts this many times slower than usual.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  /// Stops a control host until Resume; it keeps what it knows.
  void Stop(std::size_t control);
  void Resume(std::size_t control) { controls_[control].stopped = false; }
  void Run(core::Duration length);

  /// Makes upstream 0 withdraw at control host 0.
  void Leave();
  /// Times since Leave.
  struct LeaveTimes {
    std::optional<core::Duration> acknowledged;
    bool incomplete = false;  ///< Acknowledged at the deadline.
    /// When the last control host, and the last other host, had it.
    std::optional<core::Duration> controls;
    std::optional<core::Duration> hosts;
    /// Largest number of hosts that did not have it although a control host
    /// confirmed its feed to them as of the acknowledgement or later.
    std::size_t misled = 0;
  };
  [[nodiscard]] const LeaveTimes& leave() const noexcept { return leave_; }

  /// Returns the control host that leads; nothing if none or several do.
  [[nodiscard]] std::optional<std::size_t> leader() const;
  /// Returns the number of hosts whose lease on the configuration is valid.
  [[nodiscard]] std::size_t serving() const;
  /// Returns the largest part of its time that a control host has spent on
  /// messages during the last call of Run.
  [[nodiscard]] double busy() const;
  /// Returns the number of terms that have begun.
  [[nodiscard]] std::uint64_t term() const;
  /// Returns how often hosts have begun to follow another control host during
  /// the last call of Run.
  [[nodiscard]] std::size_t moves() const noexcept { return moves_; }

 private:
  struct FollowerQuestion {
    schema::HostState state;
    schema::RosterPoll roster;
    core::Duration asked;
  };
  struct Question {  ///< Of a host that follows another control host.
    core::Duration asked;
  };
  struct Written {
    consensus::WriteId id;
  };
  using Content = std::variant<FollowerQuestion, Question, schema::RosterPoll,
                               schema::RosterReply, schema::HeardHosts,
                               schema::ConsensusMessage, Written>;
  struct Message {
    std::size_t from;  ///< Index of a host or a control host.
    core::Duration arrives;
    Content content;
  };
  struct Control {
    core::HostId id;
    consensus::Replica replica;
    roster::Roster roster;
    roster::Spread spread;
    std::deque<Message> queue = {};  ///< By arrival.
    membership::PollQueue<Message> polls = {};
    core::Duration free_at{};
    core::Duration next_tick{};
    core::Duration next_poll{};
    core::Duration next_heard{};
    core::Duration spent{};
    std::uint64_t reports = 0;
    bool stopped = false;
  };
  struct Reply {
    core::Duration arrives;
    std::size_t host;
    std::size_t control;
    core::Duration asked;
    std::optional<core::Duration> age;
    std::optional<schema::RosterReply> roster;
  };
  struct Host {
    schema::HostAddress address;
    roster::Roster roster;
    membership::ParentSelector selector;
    core::Duration starts;
    core::Duration next_review{};
    std::optional<core::Duration> confirmed = std::nullopt;
    std::uint64_t reports = 0;
  };

  [[nodiscard]] static bool IsPoll(const Content& content);
  void RunControl(std::size_t index);
  /// Handles what is due at a control host and returns the time that it takes;
  /// nothing if there is nothing.
  std::optional<core::Duration> HandleNext(std::size_t index);
  core::Duration Tick(std::size_t index);
  core::Duration Handle(std::size_t index, const Message& message);
  core::Duration Perform(std::size_t index, const consensus::Event& event);
  void Send(std::size_t from, std::size_t to, Content content);
  void Announce();
  void FollowLeave();
  [[nodiscard]] static bool KnowsLeave(const roster::Roster& roster);
  void Deliver();
  void RunHost(std::size_t index);
  [[nodiscard]] bool Serves(const Host& host) const;
  [[nodiscard]] core::Instant Now() const { return core::Instant(now_); }

  LoadedClusterOptions options_;
  std::vector<Control> controls_;
  std::vector<Host> hosts_;
  std::deque<Reply> replies_;  ///< By arrival.
  double slowdown_ = 1;
  core::Duration now_{};
  core::Duration run_length_{};
  core::Duration next_announcements_{};
  std::uint64_t announcements_ = 0;
  std::size_t moves_ = 0;
  std::optional<core::Duration> left_at_;
  std::vector<std::size_t> unaware_;  ///< Hosts that do not know of the leave.
  LeaveTimes leave_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_LOADED_CLUSTER_H_
