#ifndef FOXQUAY_DAEMON_ANNOUNCEMENT_CHECK_H_
#define FOXQUAY_DAEMON_ANNOUNCEMENT_CHECK_H_

#include "foxquay/core/finding.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::daemon {

/// Time by which the clock of an upstream may be ahead of that of the host that
/// receives its announcement; far more than clocks differ in a cluster.
inline constexpr core::Duration kMaxClockLead = std::chrono::minutes(10);

/// Returns why an announcement that arrived at `now` must not be used; nothing
/// if it may be.
///
/// An announcement travels to all hosts in the feed of the one that received
/// it. One that exceeds a bound of the schema would make that feed unreadable
/// for all of them, and one with a start time in the future would outrank what
/// the upstream announces later. Thread-safe.
[[nodiscard]] core::Findings CheckAnnouncement(
    const schema::Announcement& announcement, core::WallTime now);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_ANNOUNCEMENT_CHECK_H_
