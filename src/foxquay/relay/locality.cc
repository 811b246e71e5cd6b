#include "foxquay/relay/locality.h"

#include <algorithm>

namespace foxquay::relay {
namespace internal {

double Sum(const CentreShares& shares) {
  double sum = 0;
  for (const auto& [centre, share] : shares) sum += share;
  return sum;
}

/// Returns the share of a data centre, of a sum of 1.
double Share(const CentreShares& shares, const core::DataCentreId& centre) {
  const auto found = shares.find(centre);
  return found == shares.end() ? 0 : found->second / Sum(shares);
}

}  // namespace internal

CentreShares PreferLocal(const core::DataCentreId& own,
                         const CentreShares& hosts, const CentreShares& chains,
                         double strength) {
  CentreShares factors;
  for (const auto& [centre, share] : chains) factors[centre] = 1;
  const double own_hosts = internal::Share(hosts, own);
  if (own_hosts <= 0 || internal::Sum(chains) <= 0) return factors;
  const double local = std::min(1.0, internal::Share(chains, own) / own_hosts);
  CentreShares surplus;
  for (const auto& [centre, share] : chains) {
    surplus[centre] = std::max(
        0.0, internal::Share(chains, centre) - internal::Share(hosts, centre));
  }
  const double all_surplus = internal::Sum(surplus);
  for (auto& [centre, factor] : factors) {
    const double share = internal::Share(chains, centre);
    if (share <= 0) continue;
    double part = centre == own ? local : 0;
    if (all_surplus > 0) part += (1 - local) * surplus.at(centre) / all_surplus;
    factor = 1 - strength + strength * part / share;
  }
  return factors;
}

}  // namespace foxquay::relay
