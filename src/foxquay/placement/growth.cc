#include "foxquay/placement/growth.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

#include "foxquay/placement/capacity.h"
#include "foxquay/placement/outlook.h"

namespace foxquay::placement::internal {
namespace {

/// Increase of the throughput for which an empty upstream is used. A smaller
/// one is not worth an order, a load and a spare.
constexpr double kWorthwhileIncrease = 0.01;

/// Most upstreams that are set aside as spares. A larger reserve takes more
/// memory than the loss of a group until its upstreams are back.
constexpr std::size_t kMaxSpares = 3;

/// Fraction of the memory for requests that must remain when upstreams are set
/// aside as spares.
constexpr double kMemoryFractionWithSpares = 0.6;

/// Fractions of the common token capacity that added members keep, tried in
/// this order: with less they hold more layers, and a few make a whole copy.
constexpr std::array<double, 2> kGrowthFractions = {1.0, 0.4};

/// Part by which the estimates of two throughputs may differ without meaning.
/// Of such placements, the one that holds the most requests is chosen, as
/// memory is what binds first at a crest.
constexpr double kThroughputError = 0.05;

/// Parts of the memory for as many requests as a first stage has slots that the
/// members of a copy on the fastest accelerators keep. With less, more copies
/// fit on these.
constexpr std::array<double, 4> kFastestFractions = {1.0, 0.7, 0.5, 0.35};

/// A placement in question.
struct Choice {
  Pool pool;
  double throughput = 0;
  std::uint32_t requests = 0;
};

Pool ToPool(const std::vector<Member*>& members) {
  Pool pool;
  pool.reserve(members.size());
  for (const Member* member : members) pool.push_back(*member);
  return pool;
}

/// Places one copy of the model on members without layers. The fastest ones get
/// the first layers; surplus capacity is taken from the slowest.
void PlaceCopy(const schema::Engine& engine, std::vector<Member*> members) {
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* left, const Member* right) {
                     return left->accelerator->pace < right->accelerator->pace;
                   });
  const Pool pool = ToPool(members);
  const double tokens = CommonTokenCapacity(engine, pool, engine.layers);
  std::vector<std::uint32_t> sizes;
  std::uint32_t total = 0;
  for (const Member& member : pool) {
    sizes.push_back(LayersThatFit(engine, *member.accelerator, tokens));
    total += sizes.back();
  }
  while (total > engine.layers) {
    for (std::size_t index = sizes.size();
         index-- > 0 && total > engine.layers;) {
      if (sizes[index] == 0) continue;
      --sizes[index];
      --total;
    }
  }
  std::uint32_t first = 0;
  for (std::size_t index = 0; index < members.size(); ++index) {
    members[index]->layers = {first, first + sizes[index]};
    first += sizes[index];
  }
}

/// Places `copies` copies on an empty pool; the `spares` members with the least
/// memory stay empty. Returns whether they fit. The largest member goes first,
/// each to the copy with the least capacity so far. No copy gets more members
/// than a chain may have stages.
bool PlaceCopies(const schema::Engine& engine, Pool& pool, std::size_t copies,
                 std::size_t spares) {
  std::vector<Member*> members;
  for (Member& member : pool) members.push_back(&member);
  const auto fits = [&engine](const Member* member) {
    return LayersThatFit(engine, *member->accelerator, 0);
  };
  std::stable_sort(members.begin(), members.end(),
                   [&fits](const Member* left, const Member* right) {
                     return fits(left) > fits(right);
                   });
  members.resize(members.size() - std::min(spares, members.size()));
  const double tokens =
      CommonTokenCapacity(engine, pool, copies * engine.layers);
  const double tokens_left =
      CommonTokenCapacity(engine, ToPool(members), copies * engine.layers);
  if (tokens_left < kMemoryFractionWithSpares * tokens) return false;
  std::vector<std::vector<Member*>> parts(copies);
  std::vector<std::uint32_t> capacity(copies, 0);
  for (Member* member : members) {
    const auto smallest = static_cast<std::size_t>(
        std::min_element(capacity.begin(), capacity.end()) - capacity.begin());
    const bool full =
        engine.max_stages > 0 && parts[smallest].size() >= engine.max_stages;
    if (full) continue;
    parts[smallest].push_back(member);
    capacity[smallest] += fits(member);
  }
  for (const std::uint32_t layers : capacity) {
    if (layers < engine.layers) return false;
  }
  for (const std::vector<Member*>& part : parts) PlaceCopy(engine, part);
  return true;
}

/// Places up to `copies` copies on an empty pool, one after the other, each on
/// the fastest members that are left. A copy gets as many members as hold it
/// beside `tokens` tokens of requests. Returns whether one was placed.
bool PlaceFastest(const schema::Engine& engine, Pool& pool, std::size_t copies,
                  double tokens) {
  std::vector<Member*> members;
  for (Member& member : pool) members.push_back(&member);
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* left, const Member* right) {
                     return std::make_pair(left->accelerator->pace,
                                           -left->accelerator->memory_mb) <
                            std::make_pair(right->accelerator->pace,
                                           -right->accelerator->memory_mb);
                   });
  std::size_t next = 0;
  std::size_t placed = 0;
  for (; placed < copies; ++placed) {
    std::vector<Member*> part;
    std::uint32_t layers = 0;
    while (layers < engine.layers && next + part.size() < members.size()) {
      part.push_back(members[next + part.size()]);
      layers += LayersThatFit(engine, *part.back()->accelerator, tokens);
    }
    const bool too_long =
        engine.max_stages > 0 && part.size() > engine.max_stages;
    if (layers < engine.layers || too_long) break;
    PlaceCopy(engine, part);
    next += part.size();
  }
  return placed > 0;
}

/// Returns the first run of layers whose holders bear the fewest requests.
Range FindLeastRoom(const schema::Engine& engine, const Pool& pool) {
  const std::vector<std::uint32_t> room = MeasureRoom(engine, pool);
  const auto least = std::min_element(room.begin(), room.end());
  const auto end = std::find_if(
      least, room.end(), [&](std::uint32_t value) { return value != *least; });
  return {static_cast<std::uint32_t>(least - room.begin()),
          static_cast<std::uint32_t>(end - room.begin())};
}

/// Assigns an empty member the first layers, so that the slots of a further
/// first stage are used. Returns whether there was one.
bool AddFirstStage(const schema::Engine& engine, Pool& pool) {
  const double tokens =
      engine.slots * UsualTokens(engine) / kUsableMemoryFraction;
  Member* smallest = nullptr;
  std::uint32_t layers = 0;
  for (Member& member : pool) {
    const std::uint32_t fits =
        LayersThatFit(engine, *member.accelerator, tokens);
    if (!member.layers.empty() || fits == 0) continue;
    if (smallest != nullptr && fits >= layers) continue;
    smallest = &member;
    layers = fits;
  }
  if (smallest == nullptr) return false;
  smallest->layers = {0, layers};
  return true;
}

/// Assigns the largest empty member layers with the least room; it keeps
/// `fraction` of the common token capacity. Returns whether there was one.
bool AddRoom(const schema::Engine& engine, Pool& pool, double fraction) {
  const std::size_t copies =
      std::max<std::size_t>(1, PlacedCopies(engine, pool));
  const double tokens =
      fraction * CommonTokenCapacity(engine, pool, copies * engine.layers);
  Member* largest = nullptr;
  std::uint32_t layers = 0;
  for (Member& member : pool) {
    const std::uint32_t fits =
        LayersThatFit(engine, *member.accelerator, tokens);
    if (!member.layers.empty() || fits <= layers) continue;
    largest = &member;
    layers = fits;
  }
  if (largest == nullptr) return false;
  const Range scarce = FindLeastRoom(engine, pool);
  largest->layers = {scarce.first,
                     scarce.first + std::min(layers, scarce.size())};
  return true;
}

/// What a placement gives.
struct Value {
  double throughput = 0;
  double requests = 0;

  /// Returns whether one of the figures is higher by kWorthwhileIncrease and
  /// the other not lower by it.
  [[nodiscard]] bool Exceeds(const Value& other) const {
    const auto more = [](double left, double right) {
      return left >= (1 + kWorthwhileIncrease) * right;
    };
    return (more(throughput, other.throughput) &&
            !more(other.requests, requests)) ||
           (more(requests, other.requests) &&
            !more(other.throughput, throughput));
  }
};

Value Evaluate(const schema::Engine& engine, const Pool& pool) {
  return {ExpectedThroughput(engine, pool),
          static_cast<double>(MeasurePool(engine, pool).requests)};
}

/// Puts empty members to use by `add` as long as that is worthwhile; one that
/// is not by itself may be together with the next ones.
template <class Add>
void GrowBy(const schema::Engine& engine, Pool& pool, const Add& add) {
  Pool trial = pool;
  Value value = Evaluate(engine, pool);
  while (add(engine, trial)) {
    const Value increased = Evaluate(engine, trial);
    if (!increased.Exceeds(value)) continue;
    value = increased;
    pool = trial;
  }
}

}  // namespace

std::size_t CopiesThatFit(const schema::Engine& engine, const Pool& pool) {
  return LayerCapacity(engine, pool, engine.slots * UsualTokens(engine)) /
         engine.layers;
}

void PlaceCopies(const schema::Engine& engine, Pool& pool) {
  const std::size_t usual =
      std::max<std::size_t>(1, CopiesThatFit(engine, pool));
  std::vector<Choice> found;
  double most = 0;
  for (std::size_t copies = usual + 1; copies > 0; --copies) {
    if (copies + 1 < usual && !found.empty()) break;
    for (std::size_t spares = kMaxSpares + 1; spares-- > 0;) {
      Choice choice{pool, 0, 0};
      if (!PlaceCopies(engine, choice.pool, copies, spares)) continue;
      if (copies > 1) Grow(engine, choice.pool);
      found.push_back(std::move(choice));
      // Without its spares, the loss of any stage would stop a single copy.
      if (copies == 1) break;
    }
  }
  for (const double fraction : kFastestFractions) {
    const double tokens = fraction * engine.slots * UsualTokens(engine);
    // A copy less than there may be leaves its members as spares.
    for (std::size_t copies = usual + 2; copies >= usual && copies > 1;
         --copies) {
      Choice choice{pool, 0, 0};
      if (!PlaceFastest(engine, choice.pool, copies, tokens)) continue;
      if (PlacedCopies(engine, choice.pool) < 2) continue;
      found.push_back(std::move(choice));
    }
  }
  for (Choice& choice : found) {
    choice.throughput = ExpectedThroughput(engine, choice.pool);
    choice.requests = MeasurePool(engine, choice.pool).requests;
    most = std::max(most, choice.throughput);
  }
  std::erase_if(found, [most](const Choice& choice) {
    return choice.throughput < (1 - kThroughputError) * most;
  });
  const auto best = std::max_element(
      found.begin(), found.end(), [](const Choice& left, const Choice& right) {
        return std::tie(left.requests, left.throughput) <
               std::tie(right.requests, right.throughput);
      });
  if (best != found.end()) pool = std::move(best->pool);
}

void Grow(const schema::Engine& engine, Pool& pool) {
  const std::size_t spares = PlacedCopies(engine, pool) > 1 ? 0 : kMaxSpares;
  if (EmptyMembers(pool).size() <= spares) return;
  for (const double fraction : kGrowthFractions) {
    GrowBy(engine, pool, [fraction](const schema::Engine& model, Pool& trial) {
      return MeasurePool(model, trial).limit == Limit::kSlots
                 ? AddFirstStage(model, trial)
                 : AddRoom(model, trial, fraction);
    });
  }
}

}  // namespace foxquay::placement::internal
