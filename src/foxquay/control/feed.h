#ifndef FOXQUAY_CONTROL_FEED_H_
#define FOXQUAY_CONTROL_FEED_H_

#include <cstddef>
#include <deque>

#include "foxquay/control/config.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Keeps the latest steps of the configuration feed to answer polls.
///
/// Not thread-safe.
class Feed {
 public:
  /// Appends a step; drops the kept ones if it does not follow them.
  void Append(const schema::ConfigEntry& entry);

  /// Answers a poll from `config`, whose last step is the last appended one or
  /// which came from a snapshot: with the missing steps if all are kept and
  /// few, else with a snapshot.
  [[nodiscard]] schema::ConfigReply Answer(const Config& config,
                                           const schema::ConfigPoll& poll,
                                           core::Duration age) const;

 private:
  bool FillEntries(const Config& config, std::uint64_t after,
                   schema::ConfigReply& reply) const;

  std::deque<schema::ConfigEntry> entries_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_FEED_H_
