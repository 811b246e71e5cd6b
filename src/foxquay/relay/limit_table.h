#ifndef FOXQUAY_RELAY_LIMIT_TABLE_H_
#define FOXQUAY_RELAY_LIMIT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/limits.h"

namespace foxquay::relay {

/// Time for which a limit holds on after it was last stated, while answers
/// state a higher one or none. Answers of an upstream overtake each other, and
/// one that states its limit only in some of its answers is still in need.
inline constexpr core::Duration kLimitHold = std::chrono::seconds(2);

/// Time after which a limit is forgotten that no answer has stated or ended:
/// the upstream has had no request since.
inline constexpr core::Duration kLimitMemory = std::chrono::minutes(2);

/// Lowest limit that is kept, in requests a second. At a lower one, the end of
/// the limit would not be learned, as no answer would arrive.
inline constexpr double kMinLimit = 0.05;

/// Most upstreams whose limits are kept; further ones are ignored. Bounds the
/// messages that carry the table.
inline constexpr std::size_t kMaxLimits = 1024;

/// What the upstreams of all services have stated on the requests that they
/// take, as far as one host knows.
///
/// A statement of a later start of the upstream replaces any earlier one. Among
/// those of one start, a lower limit holds at once, a higher one or none only
/// kLimitHold after the lower one was last stated. Not thread-safe; performs no
/// I/O.
class LimitTable {
 public:
  struct Limit {
    core::ServiceId service;
    core::WallTime born;
    /// Requests a second from all hosts; nothing if the upstream states no
    /// limit any more.
    std::optional<double> rate;
    core::Instant stated_at;
  };

  /// Records that an upstream stated a limit at `at`, or none; returns whether
  /// the limit in force changed. Precondition: `rate` is not negative.
  bool Record(const core::UpstreamId& upstream, const core::ServiceId& service,
              core::WallTime born, std::optional<double> rate,
              core::Instant at);
  /// Records a statement that another host has reported at `now`.
  bool Record(const schema::LimitStatement& statement, core::Instant now);

  /// Returns the limit of an upstream that started at `born`; nothing if it has
  /// none.
  [[nodiscard]] std::optional<double> Find(const core::UpstreamId& upstream,
                                           core::WallTime born) const;

  /// Returns the statements that are at most `max_age` old.
  [[nodiscard]] std::vector<schema::LimitStatement> List(
      core::Duration max_age, core::Instant now) const;

  /// Removes what is older than kLimitMemory.
  void Expire(core::Instant now);

  [[nodiscard]] const std::map<core::UpstreamId, Limit>& limits()
      const noexcept {
    return limits_;
  }
  /// Returns the number of changes of limits in force.
  [[nodiscard]] std::uint64_t changes() const noexcept { return changes_; }
  [[nodiscard]] bool empty() const noexcept { return limits_.empty(); }

 private:
  std::map<core::UpstreamId, Limit> limits_;
  std::uint64_t changes_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_LIMIT_TABLE_H_
