#ifndef FOXQUAY_CONTROL_FLEET_HISTORY_H_
#define FOXQUAY_CONTROL_FLEET_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "foxquay/control/content_share.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// What successive contents of the fleet configuration have in common, so that
/// hosts which have an earlier one are sent only what changed.
///
/// A change touches few routes, while the whole configuration may have hundreds
/// of kilobytes and go to hundreds of hosts. Earlier contents are not kept: the
/// bytes that each one shares with its successor at its ends suffice, so that a
/// host may be hundreds of versions behind. Not thread-safe; performs no I/O.
class FleetHistory {
 public:
  /// Adds the step from `base`, the content of `version`, to `content`, which
  /// replaces it. A `version` of 0 stands for no content.
  /// Precondition: `base` is the content that the last step led to.
  void Add(std::uint64_t version, const std::string& base,
           const std::string& content);

  /// Adds the step that a reply carried, without a comparison of contents.
  /// Preconditions: ReadFleet accepted the reply, `fleet_base` is set and the
  /// version that the last step led to.
  void Add(const schema::ConfigReply& change);

  /// Sets the fields of `reply` that carry `content`, the one of version
  /// `reply.fleet_version`, for a host that has `version`; 0 if it has none.
  /// Sets none of them if they would carry more than `max_bytes`.
  /// Precondition: `content` is the content that the last step led to.
  void Write(const std::string& content, std::uint64_t version,
             schema::ConfigReply& reply,
             std::size_t max_bytes = kUnlimitedContent) const;

 private:
  /// Bytes that a content and its successor have in common. They do not overlap
  /// in either of them.
  struct Step {
    std::uint64_t version = 0;  ///< Of the earlier content.
    std::uint32_t prefix = 0;   ///< After the bytes that are always sent.
    std::uint32_t suffix = 0;   ///< At the end.
  };

  void AddStep(const Step& step);

  std::deque<Step> steps_;  ///< Oldest first.
  /// Version of the content that was written last, and its hash.
  mutable std::optional<std::pair<std::uint64_t, std::uint64_t>> digest_;
};

/// Returns the content that a reply carries for a host that has `base` under
/// `version`; nothing if it is made for another version or does not match its
/// digest.
[[nodiscard]] std::optional<std::string> ReadFleet(
    const schema::ConfigReply& reply, std::uint64_t version,
    const std::string& base);

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_FLEET_HISTORY_H_
