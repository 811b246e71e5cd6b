#ifndef FOXQUAY_RELAY_REACHABILITY_H_
#define FOXQUAY_RELAY_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Upstreams of a service that have to be unreachable, with none reached
/// between them, for this host to count as cut off; all if there are fewer.
inline constexpr std::size_t kMinUnreachable = 3;

/// Time for which a failed connection is a sign of a cut; more than the time in
/// which the inquiries that follow it fail.
inline constexpr core::Duration kUnreachableMemory = std::chrono::seconds(2);

/// Upstreams that have to be reached one after the other for a cut to end, so
/// that a lossy path does not end it.
inline constexpr std::size_t kMinReached = 2;

/// Interval between the inquiries that find out whether a cut has ended.
inline constexpr core::Duration kCutInquiryInterval =
    std::chrono::milliseconds(500);

/// Minimum interval between two series of inquiries after a failed connection;
/// for that time, an upstream that was reached shows that there is a path.
inline constexpr core::Duration kInquiryInterval =
    std::chrono::milliseconds(1000);

/// Finds out from new connections to the upstreams of a service whether this
/// host is cut off from all of them.
///
/// One failed connection says little: the upstream may have ended. It leads to
/// inquiries to others, chosen at random; only if none of them is reached
/// either, the host counts as cut off. Connections that are open do not count,
/// as they may live on when new ones fail. Not thread-safe; performs no I/O.
class Reachability {
 public:
  explicit Reachability(std::uint64_t seed = 0) : random_(seed) {}

  /// Replaces the upstreams in use.
  void Set(const std::map<core::ServiceId, std::vector<core::UpstreamId>>&
               upstreams);

  /// Records that no new connection to an upstream could be opened.
  void RecordUnreachable(const core::ServiceId& service,
                         const core::UpstreamId& upstream, core::Instant now);
  /// Records that an upstream answered on a new connection.
  void RecordReached(const core::ServiceId& service,
                     const core::UpstreamId& upstream, core::Instant now);
  /// Records that a request sent to an upstream is silent for long, which leads
  /// to an inquiry.
  void RecordSilence(const core::ServiceId& service,
                     const core::UpstreamId& upstream, core::Instant now);

  /// Returns whether this host is cut off from the upstreams of a service.
  [[nodiscard]] bool CutOff(const core::ServiceId& service) const;
  /// Returns whether it is cut off from those of all services that have any.
  [[nodiscard]] bool CutOffFromAll() const;

  /// Returns the upstreams that are to be inquired on new connections now. Each
  /// result has to be recorded.
  [[nodiscard]] std::vector<core::UpstreamId> DueInquiries(core::Instant now);

 private:
  /// What is known of the upstreams of one service.
  struct Service {
    std::vector<core::UpstreamId> upstreams;
    /// When a connection to each failed last; none of them was reached since.
    std::map<core::UpstreamId, core::Instant> unreachable;
    bool cut_off = false;
    std::set<core::UpstreamId> reached;       ///< During the cut.
    std::optional<core::Instant> reached_at;  ///< When one was reached last.
    std::vector<core::UpstreamId> due;        ///< To be inquired at once.
    core::Instant next_inquiry;               ///< Of a cut, or the next series.
  };

  /// Adds up to `count` upstreams that are not known to be unreachable to those
  /// that are to be inquired.
  void Ask(Service& service, std::size_t count);
  void Review(Service& service, core::Instant now);

  std::map<core::ServiceId, Service> services_;
  std::mt19937_64 random_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_REACHABILITY_H_
