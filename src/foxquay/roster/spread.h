#ifndef FOXQUAY_ROSTER_SPREAD_H_
#define FOXQUAY_ROSTER_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/roster.h"

namespace foxquay::roster {

/// Time after which a leave is acknowledged although other control hosts may
/// lack it. Less than the second after which upstreams try another host, by the
/// delay of a timer and of the response; with the age at which copies are no
/// longer used, more than kMaxHostFeedAge, so that the feed of a control host
/// that is lost stops to count before it makes all hosts outdated.
inline constexpr core::Duration kSpreadTimeout = std::chrono::milliseconds(900);

/// Versions of this host's feed that other hosts have, and waiting tasks, each
/// until all others have a version.
///
/// Answers hosts that are busy, dead or restarted: a host has what its newest
/// poll states of the current incarnation of the feed, which may be less than
/// before, and a host that never polls delays a task until its deadline. Not
/// thread-safe; performs no I/O.
class Spread {
 public:
  /// A task that waits no longer.
  struct Settled {
    std::uint64_t task = 0;
    /// Hosts that may lack the version; empty unless the deadline has passed.
    std::vector<core::HostId> lacking;
  };

  /// `self` and `incarnation` are those of this host's feed.
  Spread(core::HostId self, std::uint64_t incarnation);

  /// Records what a poll of another host states of this host's feed. Ignored if
  /// it was sent before the newest one of that host.
  void Record(const core::HostId& from, const schema::RosterPoll& poll);

  /// Adds a task that waits until all others have `version` or until
  /// `deadline`. Precondition: no task with this number is waiting.
  void Await(std::uint64_t task, std::uint64_t version, core::Instant deadline);

  /// Returns the tasks that have stopped to wait at `now`, in the order of
  /// their numbers; `others` are the hosts that have to have the version.
  [[nodiscard]] std::vector<Settled> Take(
      const std::vector<core::HostId>& others, core::Instant now);

  [[nodiscard]] bool empty() const noexcept { return waiting_.empty(); }

 private:
  struct Known {
    /// Incarnation of the sender and number of its newest poll.
    std::pair<std::uint64_t, std::uint64_t> poll;
    std::uint64_t version = 0;  ///< 0 if it has none of the incarnation.
  };
  struct Waiting {
    std::uint64_t version = 0;
    core::Instant deadline;
  };

  [[nodiscard]] bool Has(const core::HostId& host, std::uint64_t version) const;

  core::HostId self_;
  std::uint64_t incarnation_;
  std::map<core::HostId, Known> known_;
  std::map<std::uint64_t, Waiting> waiting_;
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_SPREAD_H_
