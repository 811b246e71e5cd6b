#ifndef FOXQUAY_DISPATCH_QUEUE_H_
#define FOXQUAY_DISPATCH_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/policy.h"

namespace foxquay::dispatch {

/// A request that waits for its next leg or call.
struct Waiting {
  core::RequestId request;
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  std::string pool;               ///< Model, adapter and version, or service.
  std::uint32_t tokens_left = 0;  ///< Largest rest of the answer; 0 for a call.
  std::uint32_t prompt_bytes = 0;
  core::Instant deadline;
  bool resumed = false;  ///< Whether it lost its leg or call.
};

/// A leg or call that ended.
struct Served {
  core::RequestId request;
  std::uint32_t tokens = 0;
  core::Duration time{};
  bool ended_well = false;
};

/// Why a request is not admitted.
struct Refusal {
  std::string reason;
  std::optional<core::Duration> retry_after;
};

/// Order, admission and retry permission of one host's waiting requests.
class Queue {
 public:
  explicit Queue(std::uint64_t seed);

  /// Applies a changed policy.
  void Configure(const Policy& policy, const std::string& host);

  /// Returns why a new request may not enter, or nothing.
  [[nodiscard]] std::optional<Refusal> Admit(const Waiting& waiting,
                                             core::Instant now);
  /// Queues a request. Precondition: it is not in the queue.
  void Push(const Waiting& waiting, core::Instant now);
  /// Takes a request out, if it waits.
  void Remove(core::RequestId request);
  /// Takes the first request that `runnable` accepts; it must be ended by
  /// Complete. `runnable` does not call this object.
  [[nodiscard]] std::optional<Waiting> Take(
      const std::function<bool(const Waiting&)>& runnable, core::Instant now);
  /// Ends the leg or call of a request that Take returned.
  void Complete(const Served& served, core::Instant now);

  /// Returns whether a failed leg or call may be sent again, and counts it.
  [[nodiscard]] bool AllowRetry(const core::WorkspaceId& workspace,
                                core::Instant now);
  /// Returns when a refused request may come again.
  [[nodiscard]] core::Duration RetryAfter(const std::string& pool,
                                          core::Instant now);

  [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

 private:
  std::list<Waiting> waiting_;
  std::unordered_map<core::RequestId, std::list<Waiting>::iterator> places_;
  std::size_t max_requests_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_QUEUE_H_
