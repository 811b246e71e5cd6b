#ifndef FOXQUAY_RELAY_RETRY_BUDGET_H_
#define FOXQUAY_RELAY_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Bound on repeated sends to a service, over all hosts.
struct BudgetOptions {
  double ratio = 0.1;  ///< Repeats for each request.
  double slack = 100;  ///< Repeats in a window beyond the ratio, all hosts.
  core::Duration window = std::chrono::seconds(10);
};

/// One host's part of the bound, so that no window of all hosts together
/// exceeds it without a message between them: the ratio applies to the host's
/// own requests and the slack is divided by the number of hosts.
///
/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const BudgetOptions& options) : options_(options) {}

  /// Sets the number of hosts that share the slack; a smaller number takes
  /// effect only a window later, when repeats of hosts that left have aged.
  void SetHosts(std::size_t hosts, core::Instant now);

  /// Notes that the process has just started: it knows neither how many hosts
  /// share the slack nor what it has sent before, so a window long it uses
  /// little of it.
  void Start(core::Instant now) { started_ = now; }

  /// Counts the first send of a request.
  void CountRequest(const core::ServiceId& service, core::Instant now);

  /// Returns whether TakeRetry would return true.
  [[nodiscard]] bool CanRetry(const core::ServiceId& service,
                              core::Instant now);

  /// Counts a repeated send and returns true, or returns false if the budget
  /// has no room.
  [[nodiscard]] bool TakeRetry(const core::ServiceId& service,
                               core::Instant now);

 private:
  struct Counts {
    std::deque<core::Instant> requests;
    std::deque<core::Instant> retries;
  };

  void DropExpired(Counts& counts, core::Instant now) const;
  [[nodiscard]] double SlackFraction(core::Instant now) const;

  BudgetOptions options_;
  std::map<core::ServiceId, Counts> services_;
  std::optional<core::Instant> started_;
  std::size_t hosts_ = 0;
  std::size_t pending_hosts_ = 0;
  core::Instant pending_since_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RETRY_BUDGET_H_
