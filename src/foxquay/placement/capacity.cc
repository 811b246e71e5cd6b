#include "foxquay/placement/capacity.h"

#include <algorithm>
#include <limits>
#include <queue>

namespace foxquay::placement {
namespace internal {
namespace {

/// Requests that an upstream bears if its engine states no memory per token.
constexpr double kUnboundedRequests = 1e6;

/// A network with capacities, and its maximum flow by blocking flows (Dinic).
class FlowNetwork {
 public:
  explicit FlowNetwork(std::size_t nodes)
      : edges_of_(nodes), level_(nodes), next_(nodes) {}

  void Connect(std::size_t from, std::size_t to, std::uint32_t capacity) {
    edges_of_[from].push_back(edges_.size());
    edges_.push_back({to, capacity});
    edges_of_[to].push_back(edges_.size());
    edges_.push_back({from, 0});
  }

  std::uint32_t Maximize(std::size_t source, std::size_t sink) {
    std::uint32_t total = 0;
    while (SetLevels(source, sink)) {
      std::fill(next_.begin(), next_.end(), 0);
      while (const std::uint32_t sent = Push(
                 source, sink, std::numeric_limits<std::uint32_t>::max())) {
        total += sent;
      }
    }
    return total;
  }

  /// Returns whether a node is on the source's side of the minimum cut.
  /// Precondition: Maximize has been called.
  [[nodiscard]] bool Reached(std::size_t node) const {
    return level_[node] >= 0;
  }

 private:
  struct Edge {
    std::size_t to = 0;
    std::uint32_t left = 0;  ///< Capacity that is not in use.
  };

  bool SetLevels(std::size_t source, std::size_t sink) {
    std::fill(level_.begin(), level_.end(), -1);
    level_[source] = 0;
    std::queue<std::size_t> pending({source});
    for (; !pending.empty(); pending.pop()) {
      const std::size_t node = pending.front();
      for (const std::size_t index : edges_of_[node]) {
        const Edge& edge = edges_[index];
        if (edge.left == 0 || level_[edge.to] >= 0) continue;
        level_[edge.to] = level_[node] + 1;
        pending.push(edge.to);
      }
    }
    return level_[sink] >= 0;
  }

  // The depth is bounded by the stages of a chain.
  // NOLINTNEXTLINE(misc-no-recursion)
  std::uint32_t Push(std::size_t node, std::size_t sink, std::uint32_t limit) {
    if (node == sink) return limit;
    for (; next_[node] < edges_of_[node].size(); ++next_[node]) {
      const std::size_t index = edges_of_[node][next_[node]];
      const Edge& edge = edges_[index];
      if (edge.left == 0 || level_[edge.to] != level_[node] + 1) continue;
      const std::uint32_t sent =
          Push(edge.to, sink, std::min(limit, edge.left));
      if (sent == 0) continue;
      edges_[index].left -= sent;
      edges_[index ^ 1U].left += sent;
      return sent;
    }
    return 0;
  }

  std::vector<Edge> edges_;  ///< Each is followed by its reverse.
  std::vector<std::vector<std::size_t>> edges_of_;
  std::vector<int> level_;
  std::vector<std::size_t> next_;
};

}  // namespace

std::uint32_t RequestsThatFit(const schema::Engine& engine,
                              const Member& member) {
  const double tokens =
      TokensThatFit(engine, *member.accelerator, member.layers.size());
  const double requests = kUsableMemoryFraction * tokens / UsualTokens(engine);
  // Also takes the quotient of no memory and no memory per token.
  if (!(requests < kUnboundedRequests)) {
    return static_cast<std::uint32_t>(kUnboundedRequests);
  }
  return static_cast<std::uint32_t>(requests);
}

std::vector<std::uint32_t> MeasureRoom(const schema::Engine& engine,
                                       const Pool& pool) {
  std::vector<std::uint32_t> room(engine.layers, 0);
  for (const Member& member : pool) {
    if (member.layers.empty()) continue;
    const std::uint32_t requests = RequestsThatFit(engine, member);
    for (std::uint32_t layer = member.layers.first;
         layer < std::min(member.layers.end, engine.layers); ++layer) {
      room[layer] += requests;
    }
  }
  return room;
}

Capacity MeasurePool(const schema::Engine& engine, const Pool& pool) {
  Pool stages;
  for (const Member& member : pool) {
    const bool holds =
        !member.layers.empty() && member.layers.end <= engine.layers;
    if (holds) stages.push_back(member);
  }
  // Each stage has a node where requests enter and one where they leave.
  const std::size_t source = 2 * stages.size();
  const std::size_t sink = source + 1;
  FlowNetwork network(2 * stages.size() + 2);
  for (std::size_t index = 0; index < stages.size(); ++index) {
    const Range layers = stages[index].layers;
    const std::uint32_t fits = RequestsThatFit(engine, stages[index]);
    const std::uint32_t slots = engine.slots > 0 ? engine.slots : fits;
    network.Connect(2 * index, 2 * index + 1, fits);
    if (layers.first == 0) network.Connect(source, 2 * index, slots);
    if (layers.end == engine.layers) {
      network.Connect(2 * index + 1, sink, fits);
      continue;
    }
    for (std::size_t next = 0; next < stages.size(); ++next) {
      const Range& held = stages[next].layers;
      const bool follows = held.first <= layers.end && layers.end < held.end;
      if (follows) network.Connect(2 * index + 1, 2 * next, fits);
    }
  }
  Capacity capacity;
  const Range gap = FindFirstGap(CountHolders(engine, pool), 1);
  capacity.requests = network.Maximize(source, sink);
  capacity.layer = gap.first;
  if (!gap.empty()) return capacity;
  capacity.limit = Limit::kSlots;
  capacity.layer = engine.layers;
  for (std::size_t index = 0; index < stages.size(); ++index) {
    const bool full =
        network.Reached(2 * index) && !network.Reached(2 * index + 1);
    if (!full) continue;
    capacity.limit = Limit::kMemory;
    capacity.layer = std::min(capacity.layer, stages[index].layers.first);
  }
  const bool waits_for_slots =
      std::any_of(stages.begin(), stages.end(), [&](const Member& stage) {
        const auto index = static_cast<std::size_t>(&stage - stages.data());
        return stage.layers.first == 0 && !network.Reached(2 * index);
      });
  if (waits_for_slots) {
    capacity.limit = Limit::kSlots;
    capacity.layer = 0;
  }
  return capacity;
}

}  // namespace internal

double UsualTokens(const schema::Engine& engine) {
  return std::max(1.0, engine.usual_prompt + engine.usual_answer / 2);
}

std::vector<CentreCapacity> MeasureCapacity(
    const schema::Engine& engine, const std::vector<ModelUpstream>& upstreams) {
  std::vector<CentreCapacity> centres;
  if (engine.layers == 0) return centres;
  for (const internal::Pool& pool :
       internal::SplitByDataCentre(engine, upstreams)) {
    centres.push_back({upstreams[pool.front().index].data_centre, pool.size(),
                       internal::PlacedCopies(engine, pool),
                       internal::EmptyMembers(pool).size(),
                       internal::MeasurePool(engine, pool)});
  }
  return centres;
}

}  // namespace foxquay::placement
