#ifndef FOXQUAY_RELAY_RATE_LIMITS_H_
#define FOXQUAY_RELAY_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/relay/limit_table.h"
#include "foxquay/schema/limits.h"

namespace foxquay::relay {

/// Time for which a leave to send to a limited upstream is valid. Two polls,
/// also in a cluster of hundreds of hosts; what is not used within it is lost,
/// so that leaves do not add up to a burst.
inline constexpr core::Duration kLeaveLifetime = std::chrono::milliseconds(750);

/// One host's part in keeping the limits that upstreams state.
///
/// The limit is one for all hosts together. This host sends to a limited
/// upstream only with a leave that the control host which it follows has given
/// (LimitPool); without one it sends nothing there, whatever it knows. Not
/// thread-safe; performs no I/O.
class RateLimits {
 public:
  /// Records what an answer of an upstream that arrived at `now` states;
  /// returns whether the limit in force changed.
  bool RecordAnswer(const core::UpstreamId& upstream,
                    const core::ServiceId& service, core::WallTime born,
                    std::optional<double> rate, core::Instant now) {
    return table_.Record(upstream, service, born, rate, now);
  }

  /// Takes over the limits that the control hosts know, reported at `now`.
  void Learn(const std::vector<schema::LimitStatement>& statements,
             core::Instant now);

  /// Adds leaves that arrived at `now`, in answer to all needs reported before.
  void AddLeaves(const std::vector<schema::LimitLeave>& leaves,
                 core::Instant now);

  /// Returns whether an upstream has a limit.
  [[nodiscard]] bool Limited(const core::UpstreamId& upstream,
                             core::WallTime born) const {
    return table_.Find(upstream, born).has_value();
  }
  /// Returns whether a request may be sent to an upstream.
  [[nodiscard]] bool Allows(const core::UpstreamId& upstream,
                            core::WallTime born, core::Instant now) const;
  /// Uses a leave for a request that is sent to an upstream, if it is limited.
  void Take(const core::UpstreamId& upstream, core::WallTime born,
            core::Instant now);

  /// Returns whether this host holds a leave for some upstream of a service.
  [[nodiscard]] bool HoldsLeave(const core::ServiceId& service,
                                core::Instant now) const;
  /// Returns whether some upstream of a service is limited.
  [[nodiscard]] bool AnyLimited(const core::ServiceId& service) const;
  /// Returns when a control host answered last.
  [[nodiscard]] core::Instant answered_at() const noexcept {
    return answered_at_;
  }
  /// Returns whether leaves for a service are to be expected within a moment.
  [[nodiscard]] bool ExpectsLeave(const core::ServiceId& service,
                                  core::Instant now) const;
  /// Returns the time in which this host gets about one leave for a service, by
  /// those of the last seconds; nothing if it got none.
  [[nodiscard]] std::optional<core::Duration> LeaveInterval(
      const core::ServiceId& service, core::Instant now) const;

  /// Counts a request for a service.
  void CountRequest(const core::ServiceId& service, core::Instant now);

  /// Returns what this host knows and needs; `held` are the requests of each
  /// service that wait.
  [[nodiscard]] schema::LimitReport Report(
      const std::map<core::ServiceId, std::size_t>& held, core::Instant now);

  [[nodiscard]] const LimitTable& table() const noexcept { return table_; }

 private:
  /// Leaves for one upstream, oldest first.
  struct Leaves {
    core::WallTime born;
    std::deque<core::Instant> expiry;
  };

  void DropExpired(core::Instant now);
  [[nodiscard]] std::size_t LeavesOf(const core::ServiceId& service,
                                     core::Instant now) const;

  LimitTable table_;
  core::Instant answered_at_;
  std::map<core::UpstreamId, Leaves> leaves_;
  /// Times at which leaves for a service arrived, within kLeaveMemory.
  std::map<core::ServiceId, std::deque<core::Instant>> received_;
  /// Times of requests within kNeedWindow.
  std::map<core::ServiceId, std::deque<core::Instant>> requests_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RATE_LIMITS_H_
