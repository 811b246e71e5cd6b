#ifndef FOXQUAY_DAEMON_CONTROL_PROPOSER_H_
#define FOXQUAY_DAEMON_CONTROL_PROPOSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/peer.h"

namespace foxquay::daemon {

/// Time after which an unanswered attempt is repeated at another control host.
inline constexpr core::Duration kAttemptTimeout =
    std::chrono::milliseconds(400);

/// Delay before the next attempt after a rejection.
inline constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);

/// Maximum number of open proposals on a host; further ones fail immediately
/// with kUnavailable.
inline constexpr std::size_t kMaxOpenProposals = 4096;

/// Sends commands to the leader of the consensus group, whichever host it is,
/// and retries until they are committed or their deadline has passed.
///
/// A command may be committed more than once, so commands must be idempotent.
/// Not thread-safe: all calls and callbacks run on the control thread.
class Proposer {
 public:
  /// Receives the result, or kUnavailable once the deadline has passed, in
  /// which case the command may still be committed later.
  using Done = std::function<void(core::Result<schema::ControlResult>)>;
  using Send = std::function<void(const core::HostId&, schema::ProposeRequest)>;

  /// `incarnation` is that of this host; replies to earlier ones are ignored.
  /// `send` sends a request to a host.
  ///
  /// Precondition: `control_hosts` is not empty.
  Proposer(std::uint64_t incarnation, std::vector<core::HostId> control_hosts,
           Send send);

  /// Proposes a command; `done` is called once, possibly before this returns.
  void Propose(const schema::ControlCommand& command, core::Instant deadline,
               core::Instant now, Done done);

  /// Handles the reply of a control host.
  void HandleReply(const schema::ProposeReply& reply, core::Instant now);

  /// Sends due attempts and fails proposals whose deadline has passed.
  void Tick(core::Instant now);

  /// Returns whether no proposal is open.
  [[nodiscard]] bool empty() const noexcept { return open_.empty(); }

  /// Sets the leader; empty if unknown.
  void SetLeader(const core::HostId& leader);
  [[nodiscard]] const core::HostId& leader() const noexcept { return leader_; }

 private:
  struct OpenProposal {
    std::string command;
    core::Instant deadline;
    core::Instant next_attempt;
    Done done;
  };

  [[nodiscard]] const core::HostId& SelectTarget();
  void Attempt(std::uint64_t number, OpenProposal& open, core::Instant now);
  void Complete(std::uint64_t number,
                core::Result<schema::ControlResult> result);

  std::uint64_t incarnation_;
  std::vector<core::HostId> control_hosts_;
  Send send_;
  core::HostId leader_;
  std::size_t next_host_ = 0;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, OpenProposal> open_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_PROPOSER_H_
