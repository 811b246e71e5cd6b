#include "foxquay/routing/planner.h"

#include <algorithm>

namespace foxquay::routing {

std::optional<std::vector<Step>> Planner::Cheapest(
    const Group& group, const std::vector<Pick>& picks) {
  const std::size_t count = group.data_centres.size();
  cells_.assign(group.boundaries.size() * count, Cell{});
  position_.assign(group.layers + 1, 0);
  for (std::size_t i = 0; i < group.boundaries.size(); ++i) {
    position_[group.boundaries[i]] = static_cast<std::uint32_t>(i);
  }
  cells_[0].cost = 0;  // The activation starts at the host's own data centre.
  for (std::size_t b = 0; b + 1 < group.boundaries.size(); ++b) {
    Relax(group, picks, b);
  }
  const std::size_t last = (group.boundaries.size() - 1) * count;
  std::size_t best = count;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t data_centre = 0; data_centre < count; ++data_centre) {
    const double cost =
        cells_[last + data_centre].cost + group.links[data_centre * count];
    if (cost < best_cost) {
      best_cost = cost;
      best = data_centre;
    }
  }
  if (best == count) return std::nullopt;
  return Trace(group, picks, best);
}

void Planner::Relax(const Group& group, const std::vector<Pick>& picks,
                    std::size_t boundary) {
  const std::size_t count = group.data_centres.size();
  arrival_.assign(count, std::numeric_limits<double>::infinity());
  origin_.assign(count, 0);
  bool reached = false;
  for (std::size_t from = 0; from < count; ++from) {
    const double cost = cells_[boundary * count + from].cost;
    if (cost == std::numeric_limits<double>::infinity()) continue;
    reached = true;
    for (std::size_t to = 0; to < count; ++to) {
      const double arrival = cost + group.links[from * count + to];
      if (arrival >= arrival_[to]) continue;
      arrival_[to] = arrival;
      origin_[to] = static_cast<std::uint32_t>(from);
    }
  }
  if (!reached) return;
  const std::uint32_t layer = group.boundaries[boundary];
  for (std::size_t c = 0; c < group.classes.size(); ++c) {
    const StageClass& stage_class = group.classes[c];
    if (!picks[c].Valid() || layer < stage_class.layers.first ||
        layer > stage_class.layers.last) {
      continue;
    }
    for (const std::uint32_t end : stage_class.ends) {
      if (end <= layer) continue;
      const double cost = arrival_[stage_class.data_centre_index] +
                          picks[c].layer_seconds * (end - layer);
      Cell& cell =
          cells_[position_[end] * count + stage_class.data_centre_index];
      if (cost >= cell.cost) continue;
      cell = {cost, static_cast<std::uint32_t>(c),
              static_cast<std::uint32_t>(boundary),
              origin_[stage_class.data_centre_index]};
    }
  }
}

std::vector<Step> Planner::Trace(const Group& group,
                                 const std::vector<Pick>& picks,
                                 std::size_t data_centre) const {
  const std::size_t count = group.data_centres.size();
  std::vector<Step> steps;
  std::size_t boundary = group.boundaries.size() - 1;
  while (boundary > 0) {
    const Cell& cell = cells_[boundary * count + data_centre];
    const Pick& pick = picks[cell.stage_class];
    steps.push_back({pick.upstream,
                     {group.boundaries[cell.start_boundary],
                      group.boundaries[boundary] - 1},
                     pick.penalty_ignored});
    boundary = cell.start_boundary;
    data_centre = cell.previous_data_centre;
  }
  std::reverse(steps.begin(), steps.end());
  return steps;
}

std::vector<schema::LayerRange> UncoveredLayers(
    const Group& group, const std::vector<bool>& usable_classes) {
  std::vector<schema::LayerRange> held;
  for (std::size_t c = 0; c < group.classes.size(); ++c) {
    if (usable_classes[c]) held.push_back(group.classes[c].layers);
  }
  std::sort(held.begin(), held.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<schema::LayerRange> missing;
  std::uint32_t next = 0;
  for (const schema::LayerRange& range : held) {
    if (range.first > next) missing.push_back({next, range.first - 1});
    next = std::max(next, range.last + 1);
  }
  if (next < group.layers) missing.push_back({next, group.layers - 1});
  return missing;
}

}  // namespace foxquay::routing
