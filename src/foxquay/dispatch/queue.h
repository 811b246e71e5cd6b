#ifndef FOXQUAY_DISPATCH_QUEUE_H_
#define FOXQUAY_DISPATCH_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/policy.h"
#include "foxquay/scheduling/admission.h"
#include "foxquay/scheduling/commitments.h"
#include "foxquay/scheduling/fair_queue.h"
#include "foxquay/scheduling/retry_budget.h"
#include "foxquay/scheduling/service_estimator.h"

namespace foxquay::dispatch {

/// A request that waits for its next leg or call.
struct QueueEntry {
  core::RequestId request;
  core::WorkspaceId workspace;
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  scheduling::PoolId pool;        ///< Its model or service.
  std::string serving_key;        ///< Its pool with adapter and version.
  std::uint32_t max_tokens = 0;   ///< Largest answer; 0 for a call.
  std::uint32_t tokens_left = 0;  ///< Largest rest of the answer.
  std::uint32_t prompt_bytes = 0;
  core::Instant deadline;
  bool resumed = false;  ///< Whether it lost its leg or call.
};

/// Whether a waiting request can start.
enum class Readiness : std::uint8_t {
  kReady,
  kBlocked,  ///< This request cannot start now.
  kBusy,     ///< No request with the same offer can start now.
};

/// A leg or call that ended.
struct CompletedLeg {
  core::RequestId request;
  std::uint32_t tokens = 0;      ///< Produced by this leg.
  core::Duration first_token{};  ///< Zero if none was produced.
  core::Duration time{};
  bool succeeded = false;
  /// Length of the answer, if this leg ended it.
  std::optional<std::uint32_t> answer_tokens;
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
  [[nodiscard]] std::optional<Refusal> Admit(const QueueEntry& entry,
                                             core::Instant now);
  /// Queues a request. Precondition: it is not in the queue.
  void Push(const QueueEntry& entry, core::Instant now);
  /// Ends a request, whether it waits or not.
  void Remove(core::RequestId request, core::Instant now);
  /// Takes the first request, in fair order, that `judge` accepts; it must be
  /// ended by Complete. `judge` does not call this object.
  [[nodiscard]] std::optional<QueueEntry> Take(
      const std::function<Readiness(const QueueEntry&)>& check_readiness,
      core::Instant now);
  /// Ends the leg or call of a request that Take returned.
  void Complete(const CompletedLeg& completed, core::Instant now);

  /// Counts a leg or call sent to an upstream.
  void CountLeg(const core::UpstreamId& upstream);
  /// Returns whether a failed leg or call may be sent again, and counts it;
  /// one of `failed` failed.
  [[nodiscard]] bool ConsumeRetry(
      const core::WorkspaceId& workspace,
      const std::vector<core::UpstreamId>& possible_culprits);
  /// Returns the estimated time of all legs or the call, without waits.
  [[nodiscard]] core::Duration EstimateServiceTime(
      const QueueEntry& entry) const {
    return ServiceTime(entry, ExpectedTokens(entry));
  }
  /// Returns when a refused request may come again.
  [[nodiscard]] core::Duration RetryAfter(const scheduling::PoolId& pool);

  [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

 private:
  struct Pool {
    scheduling::FairQueue queue;
    scheduling::Commitments commitments;
    std::map<std::string, std::size_t>
        waiting_by_key;  ///< Waiting legs of each.
  };

  struct RunningLeg {
    QueueEntry entry;
    scheduling::Ticket ticket;
  };

  [[nodiscard]] PolicyScope ScopeOf(const QueueEntry& entry) const;
  [[nodiscard]] scheduling::Share ShareOf(const QueueEntry& entry) const;
  [[nodiscard]] int RetryPercent(const core::WorkspaceId& workspace) const;
  /// Returns the tokens that the rest of an answer is expected to have.
  [[nodiscard]] std::uint32_t ExpectedTokens(const QueueEntry& entry) const;
  [[nodiscard]] std::uint32_t LegTokens(const QueueEntry& entry) const;
  [[nodiscard]] scheduling::LegShape ShapeOf(const QueueEntry& entry) const;
  /// Returns the estimated service time of all legs to come.
  [[nodiscard]] core::Duration ServiceTime(const QueueEntry& entry,
                                           std::uint32_t tokens) const;
  [[nodiscard]] scheduling::Commitment CommitmentFor(
      const QueueEntry& entry) const;
  [[nodiscard]] scheduling::QueueState StateOf(
      const scheduling::PoolId& pool) const;
  [[nodiscard]] bool BelowInFlightLimit(const QueueEntry& entry) const;
  [[nodiscard]] std::optional<scheduling::Ticket> TakeFrom(
      Pool& pool,
      const std::function<Readiness(const QueueEntry&)>& check_readiness);
  /// Stops counting a leg of an offer.
  static void DecrementKeyCount(Pool& pool, const QueueEntry& entry);
  [[nodiscard]] QueueEntry MoveToRunning(const scheduling::Ticket& ticket,
                                         core::Instant now);
  /// Tells the rate of a flow whether it has a backlog.
  static void UpdateBacklog(Pool& pool, const QueueEntry& entry,
                            core::Instant now);
  void UpdateEstimates(const RunningLeg& leg, const CompletedLeg& completed);

  Policy policy_;
  std::string host_;
  std::size_t max_requests_ = 0;
  scheduling::Admission admission_;
  scheduling::ServiceEstimator estimator_;
  scheduling::RetryBudgets budgets_;
  std::map<scheduling::PoolId, Pool> pools_;
  /// Requests that were admitted and have not ended.
  std::unordered_map<core::RequestId, QueueEntry> admitted_;
  std::unordered_map<core::RequestId, QueueEntry> waiting_;
  std::unordered_map<core::RequestId, RunningLeg> running_;
  std::unordered_map<core::WorkspaceId, std::uint32_t> in_flight_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_QUEUE_H_
