#include "foxquay/relay/overload_control.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace foxquay::relay {
namespace internal {

/// Time constant of the counts of requests, in which a host with two requests
/// a second sees enough of them to tell the parts of the ranks.
constexpr std::chrono::duration<double> kDemandDecay{10.0};

/// Earliest return of a refused caller: the time in which a change of the load
/// shows in the use of the upstreams.
constexpr core::Duration kMinReturn = std::chrono::milliseconds(1500);

/// Latest return of a refused caller. Callers wait for no longer than a third
/// of the time that they have left, which is 20 s at first for streams.
constexpr core::Duration kMaxReturn = std::chrono::milliseconds(6000);

/// Part of the admitted requests for which refused callers may come back.
constexpr double kReturnShare = 0.25;

}  // namespace internal

OverloadControl::OverloadControl(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  first_credit_ = std::uniform_real_distribution<double>()(random);
}

double OverloadControl::AdmittedShare(double use) const {
  if (begin_ <= 0) return 1;
  return std::clamp(1 - (use - begin_) / kOverloadSpan, 0.0, 1.0);
}

void OverloadControl::Decay(Service& service, core::Instant now) {
  const auto passed = std::chrono::duration<double>(now - service.decayed_at);
  const double rest = std::exp(-(passed / internal::kDemandDecay));
  for (auto& [rank, demand] : service.ranks) demand.recent *= rest;
  service.admitted *= rest;
  service.decayed_at = now;
}

double OverloadControl::Share(const core::ServiceId& service,
                              std::uint32_t rank, double use) const {
  const double admitted = AdmittedShare(use);
  const auto found = services_.find(service);
  if (found == services_.end() || admitted >= 1) return admitted;
  double total = 0;
  for (const auto& [each, demand] : found->second.ranks) total += demand.recent;
  const double floor = kRankFloor * admitted;
  // What is left beside the floors goes to the ranks in order.
  double left = (admitted - floor) * total;
  for (const auto& [each, demand] : found->second.ranks) {
    const double most = (1 - floor) * demand.recent;
    const double given = std::min(left, most);
    if (each == rank) {
      return demand.recent > 0 ? floor + given / demand.recent : admitted;
    }
    left -= given;
  }
  return admitted;
}

bool OverloadControl::Admit(const core::ServiceId& id, std::uint32_t rank,
                            double use, core::Instant now) {
  Service& service = services_[id];
  Decay(service, now);
  Demand& demand =
      service.ranks.try_emplace(rank, Demand{0, first_credit_}).first->second;
  demand.recent += 1;
  const double share = Share(id, rank, use);
  const bool overloaded = AdmittedShare(use) < 1;
  if (overloaded != service.overloaded) {
    service.overloaded = overloaded;
    changes_.push_back({id, overloaded, use});
  }
  // Carries the fraction over, so that a host with few requests refuses its
  // part too.
  demand.credit += share;
  const bool admit = share >= 1 || demand.credit >= 1;
  if (admit) {
    demand.credit = std::min(demand.credit - 1, 1.0);
    service.admitted += 1;
  }
  return admit;
}

core::Duration OverloadControl::ReturnTime(const core::ServiceId& id,
                                           core::Instant now) {
  Service& service = services_[id];
  Decay(service, now);
  const double per_second =
      internal::kReturnShare *
      std::max(service.admitted / internal::kDemandDecay.count(), 0.1);
  const auto interval = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(1 / per_second));
  const core::Instant earliest = now + internal::kMinReturn;
  const core::Instant latest = now + internal::kMaxReturn;
  const core::Instant given = std::clamp(service.next_return, earliest, latest);
  service.next_return = given + interval;
  return std::chrono::duration_cast<core::Duration>(given - now);
}

}  // namespace foxquay::relay
