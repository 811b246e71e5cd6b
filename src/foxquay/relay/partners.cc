#include "foxquay/relay/partners.h"

#include <algorithm>
#include <utility>

#include "foxquay/core/hash.h"

namespace foxquay::relay {

void Partners::Set(const core::HostId& self, std::vector<Partner> partners) {
  const std::uint64_t seed = core::Hash(self.value());
  std::erase_if(partners, [&self](const Partner& partner) {
    return partner.host == self || partner.address.empty();
  });
  std::sort(partners.begin(), partners.end(),
            [seed](const Partner& a, const Partner& b) {
              return core::Hash(a.host.value(), seed) >
                     core::Hash(b.host.value(), seed);
            });
  ranked_ = std::move(partners);
}

std::optional<Partner> Partners::Choose(const std::vector<core::HostId>& tried,
                                        core::Instant now) {
  std::erase_if(avoid_until_,
                [now](const auto& item) { return now >= item.second; });
  std::vector<const Partner*> usable;
  for (const Partner& partner : ranked_) {
    if (usable.size() == kMaxPartners) break;
    const bool excluded =
        avoid_until_.contains(partner.host) ||
        std::find(tried.begin(), tried.end(), partner.host) != tried.end();
    if (!excluded) usable.push_back(&partner);
  }
  if (usable.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
  const Partner* chosen = usable[draw(random_)];
  const Partner* other = usable[draw(random_)];
  const auto load = [this](const Partner* partner) {
    const auto found = in_flight_.find(partner->host);
    return found == in_flight_.end() ? 0 : found->second;
  };
  return load(other) < load(chosen) ? *other : *chosen;
}

void Partners::End(const core::HostId& partner) {
  const auto found = in_flight_.find(partner);
  if (found == in_flight_.end()) return;
  if (--found->second == 0) in_flight_.erase(found);
}

void Partners::RecordFailure(const core::HostId& partner, core::Instant now) {
  avoid_until_[partner] = now + kPartnerAvoidance;
}

}  // namespace foxquay::relay
