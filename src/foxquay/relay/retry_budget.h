#ifndef FOXQUAY_RELAY_RETRY_BUDGET_H_
#define FOXQUAY_RELAY_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/peer.h"

namespace foxquay::relay {

/// Limit on retries to one service, summed over all hosts.
struct BudgetOptions {
  double ratio = 0.1;  ///< Retries per request.
  double slack = 100;  ///< Retries per window beyond the ratio.
  core::Duration window = std::chrono::seconds(10);  ///< Sliding window.
};

/// Fraction of the limit that is used. The margin keeps the sum within the
/// limit when requests have left the window and their retries have not.
inline constexpr double kUsableFraction = 0.8;

/// Fraction of its share that a host may use without an allowance, once it has
/// had one. The rest is at the disposal of the control host that it follows.
inline constexpr double kBaseFraction = 0.4;

/// Time for which an allowance is valid; several intervals between polls.
inline constexpr core::Duration kAllowanceLifetime = std::chrono::seconds(2);

/// Returns the retries within one window that are one host's share of the
/// limit. Thread-safe.
[[nodiscard]] double ShareOfLimit(const BudgetOptions& options,
                                  std::size_t requests, std::size_t hosts);

/// One host's part of the limit. Its share is the ratio on its own requests and
/// the slack divided by the number of hosts, so that all hosts together stay
/// within the limit in every window. A host that follows a control host uses an
/// allowance instead, which moves unused shares to where retries are needed
/// (RetryPool).
///
/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(const BudgetOptions& options) : options_(options) {}

  /// Sets the number of hosts that share the slack. A smaller number takes
  /// effect one window later, when the retries of hosts that left have expired.
  void SetHosts(std::size_t hosts, core::Instant now);

  /// Reduces the slack for one window after the start of the process: it does
  /// not know yet how many hosts share the slack, nor how many retries the
  /// previous process sent.
  void Start(core::Instant now) { started_ = now; }

  /// Counts the first send of a request.
  void CountRequest(const core::ServiceId& service, core::Instant now);

  /// Returns whether TakeRetry would return true.
  [[nodiscard]] bool CanRetry(const core::ServiceId& service,
                              core::Instant now);

  /// Sets the retries that may be sent within a window; valid for
  /// kAllowanceLifetime.
  void SetAllowance(const core::ServiceId& service, double retries,
                    core::Instant now);

  /// Returns the use of the budget of each service.
  [[nodiscard]] std::vector<schema::RetryUsage> Usage(core::Instant now);

  /// Counts a retry that is not needed and returns true, or returns false if
  /// half of the budget or more is used: the rest is left for requests that
  /// have failed.
  [[nodiscard]] bool TakeSpareRetry(const core::ServiceId& service,
                                    core::Instant now);

  /// Counts a retry and returns true, or returns false if the budget is used
  /// up.
  [[nodiscard]] bool TakeRetry(const core::ServiceId& service,
                               core::Instant now);

 private:
  /// Times of sends to one service within the window.
  struct Counts {
    std::deque<core::Instant> requests;
    std::deque<core::Instant> retries;
    double allowance = 0;
    core::Instant allowance_end;
    bool has_had_allowance = false;
  };

  /// Removes times that have left the window.
  void DropExpired(Counts& counts, core::Instant now) const;
  /// Returns the retries that may be sent within the window.
  [[nodiscard]] double Limit(const Counts& counts, core::Instant now) const;
  /// Returns the fraction of the slack that may be used at `now`.
  [[nodiscard]] double SlackFraction(core::Instant now) const;

  BudgetOptions options_;
  std::map<core::ServiceId, Counts> services_;
  std::optional<core::Instant> started_;
  std::size_t hosts_ = 0;          ///< 0 until it is set.
  std::size_t pending_hosts_ = 0;  ///< Smaller number not yet in effect.
  core::Instant pending_since_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RETRY_BUDGET_H_
