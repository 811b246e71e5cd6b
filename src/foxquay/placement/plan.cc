#include "foxquay/placement/plan.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "foxquay/placement/growth.h"
#include "foxquay/placement/pool.h"
#include "foxquay/placement/repair.h"

namespace foxquay::placement {
namespace internal {
namespace {

/// Places copies on the empty members if these hold whole ones, otherwise uses
/// them where they help most.
void UseEmptyMembers(const schema::Engine& engine, Pool& pool) {
  Pool empty = EmptyMembers(pool);
  if (CopiesThatFit(engine, empty) == 0) {
    Grow(engine, pool);
    return;
  }
  PlaceCopies(engine, empty);
  for (const Member& placed : empty) {
    const auto member = std::find_if(
        pool.begin(), pool.end(),
        [&placed](const Member& other) { return other.index == placed.index; });
    member->layers = placed.layers;
  }
}

/// Plans one pool: places copies if it is empty, otherwise fills gaps, restores
/// lost copies and uses the remaining empty members.
void PlanPool(const schema::Engine& engine, Pool& pool) {
  if (LayerCapacity(engine, pool, 0) < engine.layers) return;
  std::size_t empty = EmptyMembers(pool).size();
  if (empty == pool.size()) PlaceCopies(engine, pool);
  const std::size_t copies =
      std::max<std::size_t>(1, PlacedCopies(engine, pool));
  FillMissingLayers(engine, pool, copies);
  if (!FindFirstGap(CountHolders(engine, pool), 1).empty()) {
    RepartitionLayers(engine, pool);
  }
  // Members that are put to use change what the others are best used for. The
  // last pass changes nothing, so that the plan is stable.
  do {
    empty = EmptyMembers(pool).size();
    RestoreCopies(engine, pool,
                  std::max<std::size_t>(1, PlacedCopies(engine, pool)));
    UseEmptyMembers(engine, pool);
  } while (EmptyMembers(pool).size() < empty);
}

}  // namespace
}  // namespace internal

const schema::Accelerator* FindAccelerator(const schema::Engine& engine,
                                           const std::string& kind) {
  const auto found = std::find_if(
      engine.accelerators.begin(), engine.accelerators.end(),
      [&kind](const auto& accelerator) { return accelerator.kind == kind; });
  return found == engine.accelerators.end() ? nullptr : &*found;
}

std::uint32_t LayersThatFit(const schema::Engine& engine,
                            const std::string& accelerator, double tokens) {
  const schema::Accelerator* found = FindAccelerator(engine, accelerator);
  if (found == nullptr) return 0;
  return internal::LayersThatFit(engine, *found, tokens);
}

double TokensThatFit(const schema::Engine& engine,
                     const std::string& accelerator, std::uint32_t layers) {
  assert(layers > 0 && "TokensThatFit requires at least one layer");
  const schema::Accelerator* found = FindAccelerator(engine, accelerator);
  if (found == nullptr) return 0;
  return internal::TokensThatFit(engine, *found, layers);
}

std::vector<Assignment> Plan(const schema::Engine& engine,
                             const std::vector<ModelUpstream>& upstreams) {
  std::vector<Assignment> changes;
  for (internal::Pool& pool : internal::SplitByDataCentre(engine, upstreams)) {
    internal::PlanPool(engine, pool);
    for (const internal::Member& member : pool) {
      // An upstream that the plan leaves empty keeps its current layers.
      const ModelUpstream& upstream = upstreams[member.index];
      if (member.layers.empty() || member.layers == upstream.layers) continue;
      changes.push_back({upstream.id, member.layers});
    }
  }
  return changes;
}

}  // namespace foxquay::placement
