#ifndef FOXQUAY_SCHEDULING_ADMISSION_H_
#define FOXQUAY_SCHEDULING_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// What a new request needs.
struct Demand {
  core::Duration time_left = core::Duration::zero();  ///< To its deadline.
  core::Duration expected_service = core::Duration::zero();
  /// Service time if its answer is as long as allowed.
  core::Duration longest_service = core::Duration::zero();
};

/// What a new request finds in the queue of its pool.
struct QueueState {
  core::Duration wait = core::Duration::zero();   ///< Of the new request.
  core::Duration drain = core::Duration::zero();  ///< To serve all it holds.
  bool fits = true;          ///< Whether admitted requests keep their time.
  std::size_t running = 0;   ///< Legs in service.
  std::size_t waiting = 0;   ///< Legs in the queue.
  std::size_t capacity = 0;  ///< Most legs that may wait.
};

/// Why a request is refused.
enum class RefusalReason : std::uint8_t {
  kQueueFull,    ///< The queue holds as many legs as it may.
  kDeadline,     ///< The wait would end too late for the deadline.
  kServiceTime,  ///< The deadline is too short even without a wait.
};

/// A refusal; nothing of the request has run.
struct Refusal {
  RefusalReason reason = RefusalReason::kDeadline;
  /// When a repeat may succeed; empty if waiting does not help.
  std::optional<core::Duration> retry_after;
};

/// Refuses at once what cannot finish before its deadline. Not thread-safe.
class Admission {
 public:
  /// `seed` sets the spread of the retry times.
  explicit Admission(std::uint64_t seed) : random_(seed) {}

  /// Returns a refusal, or nothing if the request may enter the queue.
  [[nodiscard]] std::optional<Refusal> Check(const Demand& demand,
                                             const QueueState& queue);

  /// Returns a retry time from the queue's drain time, spread so that callers
  /// refused together do not come back together.
  [[nodiscard]] core::Duration RetryAfter(const QueueState& queue);

 private:
  std::mt19937_64 random_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_ADMISSION_H_
