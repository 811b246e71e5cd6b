#ifndef FOXQUAY_CONTROL_RESULT_LOG_H_
#define FOXQUAY_CONTROL_RESULT_LOG_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Maximum number of results retained to recognize resent changes.
inline constexpr std::size_t kMaxResults = 200'000;
/// Time for which a result is retained.
inline constexpr std::chrono::days kResultRetention{7};

/// Results of operators' changes by change id, which make changes idempotent: a
/// resent change gets the result of its first application.
///
/// A result is dropped when it is older than kResultRetention or no longer
/// among the latest kMaxResults.
/// Not thread-safe.
class ResultLog {
 public:
  /// Returns the retained result of a change, or null if there is none.
  /// `change` is the change id.
  [[nodiscard]] const schema::StoredResult* Find(
      const std::string& change) const;

  /// Adds the result of a change. Precondition: none is retained for its id.
  void Add(schema::StoredResult result);

  /// Drops the results that are older than kResultRetention at `now`.
  void DropExpired(core::WallTime now);

  /// Returns the retained results, oldest first.
  [[nodiscard]] const std::deque<schema::StoredResult>& results()
      const noexcept {
    return results_;
  }

 private:
  void DropOldest();

  std::deque<schema::StoredResult> results_;
  /// Number of results added before, by change id.
  std::map<std::string, std::size_t> positions_;
  std::size_t dropped_ = 0;  ///< Number of results dropped so far.
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_RESULT_LOG_H_
