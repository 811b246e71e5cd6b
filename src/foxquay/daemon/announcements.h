#ifndef FOXQUAY_DAEMON_ANNOUNCEMENTS_H_
#define FOXQUAY_DAEMON_ANNOUNCEMENTS_H_

#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::daemon {

/// Upstreams that announced themselves to this host. Used when no control node
/// supplies a roster. Not thread-safe.
class Announcements {
 public:
  /// Stores an announcement unless its sequence number is not higher than that
  /// of the last one of the upstream.
  ///
  /// @return Whether the list of active upstreams changed.
  [[nodiscard]] bool Put(schema::Announcement announcement, core::Instant now);
  /// Marks an upstream as leaving; returns whether it was active.
  [[nodiscard]] bool Remove(const core::UpstreamId& id);
  /// Removes upstreams that have not announced themselves for 1.8 s; returns
  /// whether an active one was removed.
  [[nodiscard]] bool Expire(core::Instant now);
  /// Returns the upstreams that accept new requests, i.e. are not leaving.
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
