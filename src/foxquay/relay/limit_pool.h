#ifndef FOXQUAY_RELAY_LIMIT_POOL_H_
#define FOXQUAY_RELAY_LIMIT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/relay/limit_table.h"
#include "foxquay/schema/limits.h"

namespace foxquay::relay {

/// Time after the start of a control host in which it gives no leaves: it does
/// not know yet how many hosts there are, and leaves that its previous process
/// gave are still valid.
inline constexpr core::Duration kPoolWarmUp = std::chrono::seconds(1);

/// Time without a poll after which a host no longer counts as a follower. A
/// host that changes to another control host is counted at both for so long.
inline constexpr core::Duration kFollowerSilence = std::chrono::seconds(1);

/// The hosts among which a limit is divided.
struct LimitHosts {
  core::HostId self;
  std::vector<core::HostId>
      controls;                 ///< All control hosts, this one included.
  std::size_t entry_hosts = 1;  ///< Hosts that send requests.
};

/// Gives the followers of one control host leave to send to upstreams that
/// state a limit.
///
/// The limit of an upstream is divided among the control hosts by their
/// followers, so that they need not agree with each other, and each gives its
/// part to those of its followers that have requests. A limit of fewer requests
/// a second than there are control hosts is given out by one of them, chosen by
/// rendezvous hashing: each of the parts would be too small to be used. Leaves
/// come from a token bucket that holds a quarter of a second's worth and are
/// valid for kLeaveLifetime, so that in any window the fleet sends at most the
/// limit, over the window and that lifetime, and one request for each control
/// host. Answers upstreams that are overloaded and get the requests of all
/// hosts. Keeps nothing that a restart would lose for good: hosts report the
/// limits again. Not thread-safe; performs no I/O.
class LimitPool {
 public:
  explicit LimitPool(core::Instant started) : started_(started) {}

  /// Records statements that a host reported at `now`.
  void Record(const std::vector<schema::LimitStatement>& statements,
              core::Instant now);

  /// Records the poll of a follower at `now`, and returns what it may send.
  [[nodiscard]] std::vector<schema::LimitLeave> Grant(
      const core::HostId& follower, const std::vector<schema::LimitNeed>& needs,
      const LimitHosts& hosts, core::Instant now);

  /// Returns what other control hosts have to know: the statements that are
  /// new since the last call.
  [[nodiscard]] std::vector<schema::LimitStatement> TakeNews(core::Instant now);

  [[nodiscard]] const LimitTable& table() const noexcept { return table_; }

 private:
  struct Bucket {
    double tokens = 0;
    core::Instant filled_at;
  };
  struct Follower {
    core::Instant polled_at;
    std::map<core::ServiceId, std::uint32_t> needs;
  };

  void DropSilent(core::Instant now);
  /// Returns the part of a limit that this control host gives out, in requests
  /// a second.
  [[nodiscard]] double OwnRate(const core::UpstreamId& upstream, double limit,
                               const LimitHosts& hosts) const;
  /// Returns the requests for a service that all followers could send.
  [[nodiscard]] double TotalNeed(const core::ServiceId& service) const;

  core::Instant started_;
  LimitTable table_;
  std::map<core::UpstreamId, Bucket> buckets_;
  std::map<core::HostId, Follower> followers_;
  /// Statements that the other control hosts have.
  std::map<core::UpstreamId, std::pair<core::Instant, double>> shared_;
  std::uint64_t next_first_ = 0;  ///< Rotates the upstreams that are given.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_LIMIT_POOL_H_
