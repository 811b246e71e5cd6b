#ifndef FOXQUAY_ROSTER_UNCONFIGURED_H_
#define FOXQUAY_ROSTER_UNCONFIGURED_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::roster {

/// Maximum number of announcements that are held; further ones are dropped.
/// Several times the upstreams of the largest clusters.
inline constexpr std::size_t kMaxUnconfigured = 4096;

/// Announcements for services that the configuration does not contain, held
/// until it does.
///
/// Answers entries of other writers under the id or the address of an upstream:
/// in a feed, the one that states the latest start takes the place of what the
/// upstream says itself. No request goes to a service that is not configured,
/// so that nothing is lost if its announcements stay at the host that received
/// them. Not thread-safe; performs no I/O.
class Unconfigured {
 public:
  /// Sets the services of the configuration. Until the first call, none counts
  /// as unconfigured. Returns the held announcements that may be used now.
  [[nodiscard]] std::vector<schema::Announcement> SetServices(
      std::set<core::ServiceId> services, core::Instant now);

  /// Returns whether a service is missing from the configuration. An upstream
  /// without a service is not part of one.
  [[nodiscard]] bool Lacks(const core::ServiceId& service) const;

  /// Holds an announcement until a later one of its upstream, for as long as it
  /// would be usable. Returns whether none of the upstream was held.
  bool Hold(const schema::Announcement& announcement, core::Instant now);

  /// Drops the announcement of an upstream; returns whether there was one.
  bool Drop(const core::UpstreamId& upstream);

  [[nodiscard]] std::size_t size() const noexcept { return held_.size(); }

 private:
  struct Held {
    schema::Announcement announcement;
    core::Instant heard_at;
  };

  void Expire(core::Instant now);

  bool configured_ = false;  ///< Whether there is a configuration.
  std::set<core::ServiceId> services_;
  std::map<core::UpstreamId, Held> held_;
};

}  // namespace foxquay::roster

#endif  // FOXQUAY_ROSTER_UNCONFIGURED_H_
