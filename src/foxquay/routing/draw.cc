#include <cstddef>
#include <random>

#include "foxquay/routing/router.h"

namespace foxquay::routing {
namespace internal {

/// Random tries before a scan of the whole class.
constexpr int kDrawTries = 4;

}  // namespace internal

Pick Router::Draw(const std::vector<UpstreamIndex>& members,
                  const std::vector<core::UpstreamId>& excluded,
                  core::Instant now) {
  Pick best;
  if (members.empty()) return best;
  int found = 0;
  const auto consider = [&](UpstreamIndex index) {
    if (best.Valid() && index == best.upstream) return;
    if (!Allowed(index, excluded, now)) return;
    ++found;
    const Upstream& upstream = upstreams_[index];
    const double factor = upstream.suspicion.Factor(now);
    // Ignoring the factor with probability 1 / factor lets traffic return in
    // proportion; a plain comparison would return it all at once.
    const bool trusted =
        factor > 1 &&
        std::uniform_real_distribution<double>()(random_) * factor < 1;
    const double seconds =
        upstream.LoadedLayerSeconds(now) / (trusted ? factor : 1);
    if (seconds < best.layer_seconds) best = {index, seconds, trusted};
  };
  for (int i = 0; i < internal::kDrawTries && found < 2; ++i) {
    consider(members[random_() % members.size()]);
  }
  const std::size_t start = random_() % members.size();
  for (std::size_t i = 0; i < members.size() && found == 0; ++i) {
    consider(members[(start + i) % members.size()]);
  }
  return best;
}

}  // namespace foxquay::routing
