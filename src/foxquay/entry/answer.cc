#include "foxquay/entry/answer.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace foxquay::entry {
namespace {

std::uint32_t WeightOf(const Host& host) noexcept {
  const double weight = std::round(std::clamp(host.free, 0.0, 1.0) *
                                   static_cast<double>(kFullWeight));
  return std::max(1U, static_cast<std::uint32_t>(weight));
}

std::vector<const Host*> UsableHosts(const std::vector<Host>& hosts) {
  std::vector<const Host*> usable;
  for (const Host& host : hosts) {
    if (host.alive && !host.draining) usable.push_back(&host);
  }
  const auto keep_if_any = [&usable](const auto& condition) {
    if (std::any_of(usable.begin(), usable.end(), condition)) {
      std::erase_if(usable, std::not_fn(condition));
    }
  };
  keep_if_any([](const Host* host) { return host->admitting; });
  keep_if_any([](const Host* host) { return !host->cut_off; });
  return usable;
}

}  // namespace

Answer ChooseAddresses(const std::vector<Host>& hosts,
                       const core::DataCentreId& caller,
                       const Distances& distances, core::Duration ttl) {
  std::vector<const Host*> usable = UsableHosts(hosts);
  const auto rank = [&](const Host* host) {
    return std::make_tuple(distances.Get(caller, host->data_centre),
                           host->data_centre, host->id);
  };
  std::sort(usable.begin(), usable.end(),
            [&](const Host* a, const Host* b) { return rank(a) < rank(b); });
  Answer answer;
  answer.ttl = ttl;
  for (const Host* host : usable) {
    // All hosts of a data centre are listed, or its last ones would get no
    // work.
    if (answer.addresses.size() >= kAddressTarget &&
        answer.addresses.back().data_centre != host->data_centre) {
      break;
    }
    answer.addresses.push_back(
        {host->id, host->address, host->data_centre, WeightOf(*host)});
  }
  return answer;
}

}  // namespace foxquay::entry
