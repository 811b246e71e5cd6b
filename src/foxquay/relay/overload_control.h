#ifndef FOXQUAY_RELAY_OVERLOAD_CONTROL_H_
#define FOXQUAY_RELAY_OVERLOAD_CONTROL_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::relay {

/// Use of a model's upstreams at which all new requests are refused, over the
/// one at which refusals begin. Requests take seconds to end, while the use is
/// known within one, so that the share refused settles between the two.
inline constexpr double kOverloadSpan = 0.2;

/// Smallest share of the requests of a rank that is admitted, relative to that
/// of all requests, so that no rank starves.
inline constexpr double kRankFloor = 0.4;

/// A change of whether a host refuses new requests to a model.
struct OverloadChange {
  core::ServiceId service;
  bool overloaded = false;
  double use = 0;  ///< Of the upstreams, see OverloadControl::Admit.
};

/// Decides which new requests to models one host refuses while the upstreams
/// hold nearly as many as they can.
///
/// Answers more requests at once than the chains of a model hold: admitted, all
/// would be late, as upstreams preempt and turn away what exceeds their memory.
/// The share that is admitted falls linearly with the use of the upstreams, so
/// that hosts need to agree on nothing but the use (as for packets in random
/// early detection: Floyd and Jacobson, 1993). It goes to the more urgent ranks
/// first, and each rank keeps a floor.
///
/// Not thread-safe; performs no I/O.
class OverloadControl {
 public:
  /// Refuses nothing until SetBegin. `seed` spreads the refusals of hosts.
  explicit OverloadControl(std::uint64_t seed);

  /// Sets the use at which refusals begin; 0 refuses nothing.
  void SetBegin(double use) noexcept { begin_ = use; }

  /// Counts a new request of a service and returns whether it is admitted.
  /// `rank` 0 is the most urgent; `use` is the part of the requests which the
  /// upstreams of the service hold at most that is open.
  [[nodiscard]] bool Admit(const core::ServiceId& service, std::uint32_t rank,
                           double use, core::Instant now);

  /// Returns the time after which a refused caller may come back. The times of
  /// callers that are refused together are spread, so that they find no more
  /// than a part of the places that become free.
  [[nodiscard]] core::Duration ReturnTime(const core::ServiceId& service,
                                          core::Instant now);

  /// Returns the changes of whether requests are refused since the last call.
  [[nodiscard]] std::vector<OverloadChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

  /// Returns the share of a rank's requests that is admitted at present.
  [[nodiscard]] double Share(const core::ServiceId& service, std::uint32_t rank,
                             double use) const;

 private:
  /// Requests of one rank.
  struct Demand {
    double recent = 0;  ///< Arrivals, less what has decayed.
    double credit = 0;  ///< Of the next request; it is admitted from 1 on.
  };
  struct Service {
    std::map<std::uint32_t, Demand> ranks;
    double admitted = 0;  ///< Requests, less what has decayed.
    bool overloaded = false;
    core::Instant decayed_at;
    core::Instant next_return;  ///< Time given to the next refused caller.
  };

  /// Returns the share of all requests that is admitted.
  [[nodiscard]] double AdmittedShare(double use) const;
  static void Decay(Service& service, core::Instant now);

  double begin_ = 0;
  double first_credit_;
  std::map<core::ServiceId, Service> services_;
  std::vector<OverloadChange> changes_;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_OVERLOAD_CONTROL_H_
