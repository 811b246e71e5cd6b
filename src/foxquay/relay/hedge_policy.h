#ifndef FOXQUAY_RELAY_HEDGE_POLICY_H_
#define FOXQUAY_RELAY_HEDGE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/relay/decision.h"
#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {

/// Limit on second sends, see HedgePolicy.
struct HedgeOptions {
  double ratio = 0;  ///< Second sends per request that may have one; 0 for off.
};

/// One of two sends of a request.
enum class Copy : std::uint8_t { kFirst, kHedge };

/// Why a request that has waited for its delay gets no second send yet.
enum class HedgeDenial : std::uint8_t {
  kAnswers,   ///< Too few answers are known to tell which are slow.
  kDeadline,  ///< The time left is too short for an answer.
  kAttempts,  ///< The attempts of the route are used up.
  kRoom,      ///< The service is near the load that it can take.
  kUpstream,  ///< No other upstream may take it.
  kLimit,     ///< The host has used its part of the limit.
  kBudget,    ///< The retries left are kept for repeats after failures.
};

/// Returns the name of a denial as used in metrics. Thread-safe.
[[nodiscard]] const char* Name(HedgeDenial denial) noexcept;

/// A second send of a request, or why there is none.
using HedgeDecision = std::variant<Send, HedgeDenial>;

/// Decides when the requests of one host are slow enough for a second send, and
/// how many there may be.
///
/// The delay is a quantile of the recent answer times of the service at other
/// upstreams than the one that has the request, so that it answers one slow
/// upstream with second sends and a service that is slow as a whole with none.
/// The limit is the same fraction of the requests, over all hosts together: a
/// host uses only what its own requests have earned. Not thread-safe; performs
/// no I/O.
class HedgePolicy {
 public:
  /// Replaces the limit. Precondition: `options.ratio` is from 0 to 1.
  void SetOptions(const HedgeOptions& options) { options_ = options; }
  /// Returns whether there may be second sends.
  [[nodiscard]] bool enabled() const noexcept { return options_.ratio > 0; }

  /// Counts a request that may have a second send.
  void CountRequest(const core::ServiceId& service);
  /// Records the time that a first send took to its answer, or that it had
  /// taken when it was given up because the second one was answered.
  void RecordAnswer(const core::ServiceId& service,
                    const core::UpstreamId& upstream, core::Duration time,
                    core::Instant now);
  /// Records the open requests of this host by service. To be called at regular
  /// intervals well below a second.
  void RecordOpen(const std::map<core::ServiceId, std::size_t>& open,
                  core::Instant now);

  /// Returns how long a request that `upstream` has must have waited; nothing
  /// if too few answers of other upstreams are known.
  [[nodiscard]] std::optional<core::Duration> Delay(
      const core::ServiceId& service, const core::UpstreamId& upstream,
      core::Duration target_latency, core::Instant now) const;
  /// Returns whether a service is so near the load that it can take that extra
  /// requests would delay others. All hosts are assumed to have as many open
  /// requests as this one. Precondition: `hosts` is at least 1.
  [[nodiscard]] bool NearRoom(const core::ServiceId& service,
                              const ServiceRoom& room, std::size_t hosts) const;

  /// Returns whether the limit allows a second send.
  [[nodiscard]] bool HasCredit(const core::ServiceId& service) const;
  /// Counts a second send. Precondition: HasCredit.
  void Spend(const core::ServiceId& service);

 private:
  struct Answer {
    core::UpstreamId upstream;
    core::Duration time{};
    core::Instant at;
  };
  struct Account {
    std::deque<Answer> answers;  ///< Oldest first.
    double credit = 0;           ///< Second sends earned and not used.
    double mean_open = 0;        ///< Recent mean of the open requests.
  };

  HedgeOptions options_;
  std::map<core::ServiceId, Account> services_;
  std::optional<core::Instant> open_recorded_at_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_HEDGE_POLICY_H_
