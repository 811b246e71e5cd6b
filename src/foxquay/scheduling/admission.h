#ifndef FOXQUAY_SCHEDULING_ADMISSION_H_
#define FOXQUAY_SCHEDULING_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "foxquay/core/time.h"
#include "foxquay/scheduling/fwd.h"

namespace foxquay::scheduling {

/// Time that a new request has and needs.
struct Demand {
  core::Duration time_left = core::Duration::zero();  ///< Until its deadline.
  /// Service time if its answer is as long as expected.
  core::Duration expected_service = core::Duration::zero();
  /// Service time if its answer is as long as allowed.
  core::Duration longest_service = core::Duration::zero();
};

/// State of a pool's queue when a new request arrives.
struct QueueState {
  /// Estimated wait of the new request.
  core::Duration wait = core::Duration::zero();
  /// Time to serve all admitted requests.
  core::Duration drain = core::Duration::zero();
  /// Whether admitted requests still meet their deadlines with the new one.
  bool fits = true;
  std::size_t running = 0;   ///< Legs in service.
  std::size_t waiting = 0;   ///< Legs in the queue.
  std::size_t capacity = 0;  ///< Largest allowed number of waiting legs.
};

/// Reason for refusing a request.
enum class RefusalReason : std::uint8_t {
  kQueueFull,    ///< The queue is at its capacity.
  kDeadline,     ///< The wait is too long to meet the deadlines.
  kServiceTime,  ///< The deadline cannot be met even without a wait.
};

/// A refusal; nothing of the request has run.
struct Refusal {
  RefusalReason reason = RefusalReason::kDeadline;
  /// Time until a retry may succeed; empty if waiting does not help.
  std::optional<core::Duration> retry_after;
};

/// Admission control: refuses requests at once that cannot finish before their
/// deadline or would make admitted ones miss theirs. Not thread-safe.
class Admission {
 public:
  /// `seed` seeds the jitter of the retry times.
  explicit Admission(std::uint64_t seed) : random_(seed) {}

  /// Returns a refusal, or nothing if the request may enter the queue.
  [[nodiscard]] std::optional<Refusal> Check(const Demand& demand,
                                             const QueueState& queue);

  /// Returns the retry time for a refused request: the queue's drain time plus
  /// jitter, so that callers refused together do not retry together.
  [[nodiscard]] core::Duration RetryAfter(const QueueState& queue);

 private:
  std::mt19937_64 random_;
};

}  // namespace foxquay::scheduling

#endif  // FOXQUAY_SCHEDULING_ADMISSION_H_
