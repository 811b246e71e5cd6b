#ifndef FOXQUAY_CONTROL_CONTENT_SHARE_H_
#define FOXQUAY_CONTROL_CONTENT_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::control {

/// Content that goes with any reply: about the size of the reply without it.
inline constexpr std::size_t kInlineContentBytes = 4096;

/// Part of a control host's time in which it makes replies with large contents.
/// The kernel takes about as long to send them; the rest is for votes, the log,
/// announcements and the polls of hosts that have the content.
inline constexpr double kContentShare = 0.25;

/// Time after which content counts as lost if its receiver still polls without
/// it: a message of the maximum size on a link of 10 Mbit/s, and two polls.
inline constexpr core::Duration kContentTimeout =
    std::chrono::milliseconds(1500);

/// Content that takes a control host about as long to make and to send as the
/// rest of the reply.
inline constexpr std::size_t kPromptContentBytes = 65'536;

/// Time without the next version after which a host is sent content by any
/// control host. Longer than the interval of polls at hundreds of hosts (364 ms
/// at 291 hosts and five control hosts), so that the one that it follows, if it
/// answers, has done so.
inline constexpr core::Duration kContentOverdue =
    std::chrono::milliseconds(450);

/// Time by which contents of up to kPromptContentBytes may run ahead of their
/// share: an interval of polls, since polls may all come at one time of it.
inline constexpr core::Duration kMaxContentAdvance =
    std::chrono::milliseconds(250);

/// Decides to which hosts a control host sends a large configuration, and when.
///
/// Answers the load of hundreds of hosts that all lack the same configuration:
/// sent with every reply, it delays the replies, so that hosts ask again, other
/// control hosts too, and are sent it again. A host is sent content once while
/// that may be on its way, and contents take a fixed part of the sender's time;
/// replies without it go out at once and show that the sender is up. The time
/// is measured, so that the rate follows the machine and the size.
///
/// Answers the load of changes that follow each other, too: a host whose
/// control host is silent, or whose polls come right after those of others,
/// would never have what replies state. Any control host sends the content to a
/// host that has lacked it for kContentOverdue, if it is not large ahead of its
/// share. Not thread-safe; performs no I/O.
class ContentShare {
 public:
  /// Returns how many bytes of content a reply may carry to a host whose poll
  /// states that it has `version`. `follows` tells that it follows this control
  /// host; others are only asked for a confirmation.
  [[nodiscard]] std::size_t Allowed(const core::HostId& host,
                                    std::uint64_t version, core::Instant now,
                                    bool follows = true);

  /// Records a reply that states `version` and carries `bytes` of content,
  /// which may be none; `spent` is the time that it took this host to make it.
  void RecordSent(const core::HostId& host, std::uint64_t version,
                  std::size_t bytes, core::Duration spent, core::Instant now);

  /// Records that what was on its way to a host may be lost.
  void RecordLoss(const core::HostId& host) { sent_.erase(host); }

 private:
  /// A version, and when it was sent or first known.
  struct Version {
    std::uint64_t version = 0;
    core::Instant at;
  };

  /// Returns whether a host with `version` has lacked the next one for
  /// kContentOverdue.
  [[nodiscard]] bool Overdue(std::uint64_t version, core::Instant now);

  std::map<core::HostId, Version> sent_;  ///< What may be on its way.
  std::deque<Version> known_;  ///< Versions that replies stated, oldest first.
  core::Instant next_;         ///< When the next content may be sent.
};

/// No bound on the content of a reply.
inline constexpr std::size_t kUnlimitedContent =
    std::numeric_limits<std::size_t>::max();

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_CONTENT_SHARE_H_
