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

/// Results of operators' changes kept for resends.
inline constexpr std::size_t kMaxResults = 200'000;
inline constexpr std::chrono::days kResultRetention{7};

/// First results of operators' changes by change id; a result is dropped when
/// it is older than kResultRetention or not among the last kMaxResults.
///
/// Not thread-safe.
class ResultLog {
 public:
  /// Returns the kept result of a change, or null.
  [[nodiscard]] const schema::StoredResult* Find(
      const std::string& change) const;

  /// Adds the first result of a change. Precondition: none is kept.
  void Add(schema::StoredResult result);

  /// Drops the results whose life is over.
  void DropExpired(core::WallTime now);

  /// Returns the kept results, oldest first.
  [[nodiscard]] const std::deque<schema::StoredResult>& results()
      const noexcept {
    return results_;
  }

 private:
  void DropOldest();

  std::deque<schema::StoredResult> results_;
  std::map<std::string, std::size_t> positions_;  ///< Counted from the start.
  std::size_t dropped_ = 0;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_RESULT_LOG_H_
