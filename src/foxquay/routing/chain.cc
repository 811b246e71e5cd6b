#include "foxquay/routing/chain.h"

#include <cstddef>

namespace foxquay::routing {

bool Covers(const Chain& chain, std::uint32_t layers) noexcept {
  std::uint32_t next = 0;
  for (const Stage& stage : chain) {
    if (stage.layers.first != next || stage.layers.last < next) return false;
    next = stage.layers.last + 1;
  }
  return next == layers && layers > 0;
}

void JoinRepeated(Chain& chain) {
  for (std::size_t i = 0; i < chain.size(); ++i) {
    for (std::size_t j = chain.size() - 1; j > i; --j) {
      if (chain[j].upstream != chain[i].upstream) continue;
      chain[i].layers.last = chain[j].layers.last;
      chain.erase(chain.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                  chain.begin() + static_cast<std::ptrdiff_t>(j) + 1);
      break;
    }
  }
}

}  // namespace foxquay::routing
