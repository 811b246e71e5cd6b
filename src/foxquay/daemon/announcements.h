#ifndef FOXQUAY_DAEMON_ANNOUNCEMENTS_H_
#define FOXQUAY_DAEMON_ANNOUNCEMENTS_H_

#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::daemon {

/// Announcements heard by this host alone; used until a roster is wired. Not
/// thread-safe.
class Announcements {
 public:
  /// Stores an announcement unless a newer one of the upstream is known.
  ///
  /// @return Whether the list of active upstreams changed.
  [[nodiscard]] bool Put(schema::Announcement announcement, core::Instant now);
  /// Withdraws an upstream; returns whether it was active.
  [[nodiscard]] bool Remove(const core::UpstreamId& id);
  /// Drops silent upstreams; returns whether an active one was dropped.
  [[nodiscard]] bool Expire(core::Instant now);
  /// Returns the upstreams that take new work.
  [[nodiscard]] std::vector<schema::Announcement> Active() const;

 private:
  struct KnownUpstream {
    schema::Announcement announcement;
    core::Instant received;
  };

  std::map<core::UpstreamId, KnownUpstream> known_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_ANNOUNCEMENTS_H_
