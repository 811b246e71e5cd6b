#ifndef FOXQUAY_CONTROL_FEED_H_
#define FOXQUAY_CONTROL_FEED_H_

#include <cstddef>
#include <deque>

#include "foxquay/control/config.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Retains the latest entries of the configuration feed for replies to polls.
///
/// Not thread-safe.
class Feed {
 public:
  /// Appends an entry; drops all retained entries first if `entry` does not
  /// follow the last of them.
  void Append(const schema::ConfigEntry& entry);

  /// Returns the reply to a poll.
  ///
  /// The reply holds the entries that the sender of the poll is missing if all
  /// of them are retained and they fit into a reply, else a snapshot of
  /// `config`. `config` is the configuration after the last appended entry, or
  /// one restored from a snapshot. `age` is the time since `config` was known
  /// to be current.
  [[nodiscard]] schema::ConfigReply Answer(const Config& config,
                                           const schema::ConfigPoll& poll,
                                           core::Duration age) const;

 private:
  /// Adds the entries after the sequence `after` to `reply`; returns false if
  /// a snapshot must be sent instead.
  bool FillEntries(const Config& config, std::uint64_t after,
                   schema::ConfigReply& reply) const;

  std::deque<schema::ConfigEntry> entries_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_FEED_H_
