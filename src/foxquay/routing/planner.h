#ifndef FOXQUAY_ROUTING_PLANNER_H_
#define FOXQUAY_ROUTING_PLANNER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "foxquay/routing/group.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// One member chosen for a class, with its predicted seconds per layer.
struct Pick {
  UpstreamIndex upstream = 0;
  double layer_seconds = std::numeric_limits<double>::infinity();
  bool penalty_ignored = false;  ///< Whether its suspicion is ignored.

  /// Returns whether the class has a usable member.
  [[nodiscard]] bool Valid() const noexcept {
    return layer_seconds < std::numeric_limits<double>::infinity();
  }
};

/// A stage of a planned chain.
struct Step {
  UpstreamIndex upstream = 0;
  schema::LayerRange layers;
  bool penalty_ignored = false;  ///< As in Pick.
};

/// Finds the cheapest cover of a group's layers by dynamic programming over
/// the layer boundaries and data centres. Keeps its scratch memory.
class Planner {
 public:
  /// Returns the chain with the least sum of stage and link times, or nothing.
  ///
  /// `picks` holds one member for each class of the group.
  [[nodiscard]] std::optional<std::vector<Step>> Cheapest(
      const Group& group, const std::vector<Pick>& picks);

 private:
  struct Cell {
    double cost = std::numeric_limits<double>::infinity();
    std::uint32_t stage_class = 0;
    std::uint32_t start_boundary = 0;  ///< Where the stage starts.
    /// Where the activation came from.
    std::uint32_t previous_data_centre = 0;
  };

  void Relax(const Group& group, const std::vector<Pick>& picks,
             std::size_t boundary);
  [[nodiscard]] std::vector<Step> Trace(const Group& group,
                                        const std::vector<Pick>& picks,
                                        std::size_t data_centre) const;

  std::vector<Cell> cells_;
  std::vector<std::uint32_t> position_;  ///< Boundary index of each layer.
  std::vector<double> arrival_;
  std::vector<std::uint32_t> origin_;
};

/// Returns the layers that no class with a valid pick covers.
[[nodiscard]] std::vector<schema::LayerRange> UncoveredLayers(
    const Group& group, const std::vector<bool>& usable_classes);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_PLANNER_H_
