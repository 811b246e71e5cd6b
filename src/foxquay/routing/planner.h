#ifndef FOXQUAY_ROUTING_PLANNER_H_
#define FOXQUAY_ROUTING_PLANNER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "foxquay/routing/group.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// The member chosen for a class, with its predicted seconds per layer.
struct Pick {
  UpstreamIndex upstream = 0;
  double layer_seconds = std::numeric_limits<double>::infinity();
  bool penalty_ignored = false;  ///< Of its failure record.

  /// Returns whether the class has a usable member at all.
  [[nodiscard]] bool Valid() const noexcept {
    return layer_seconds < std::numeric_limits<double>::infinity();
  }
};

/// One stage of a planned chain.
struct Step {
  UpstreamIndex upstream = 0;
  schema::LayerRange layers;
  bool penalty_ignored = false;  ///< As in Pick.
};

/// Finds the cheapest chain of a group by dynamic programming over the layer
/// boundaries and data centres. Keeps its buffers between calls. Not
/// thread-safe.
class Planner {
 public:
  /// Returns the chain with the least sum of stage and network times, from and
  /// back to the host's own data centre, or nothing if the picks leave layers
  /// uncovered.
  ///
  /// `picks` holds one member for each class of the group, in their order.
  [[nodiscard]] std::optional<std::vector<Step>> Cheapest(
      const Group& group, const std::vector<Pick>& picks);

 private:
  /// Cheapest way to compute all layers before a boundary, with the activation
  /// in a given data centre afterwards.
  struct Cell {
    double cost = std::numeric_limits<double>::infinity();  ///< Seconds.
    std::uint32_t stage_class = 0;     ///< Index of the last stage's class.
    std::uint32_t start_boundary = 0;  ///< At which the last stage starts.
    /// Data centre before the last stage.
    std::uint32_t previous_data_centre = 0;
  };

  /// Extends the chains that end at `boundary` by one stage.
  void Relax(const Group& group, const std::vector<Pick>& picks,
             std::size_t boundary);
  /// Returns the stages of the cheapest chain that ends in `data_centre`.
  [[nodiscard]] std::vector<Step> Trace(const Group& group,
                                        const std::vector<Pick>& picks,
                                        std::size_t data_centre) const;

  std::vector<Cell> cells_;              ///< By boundary, then data centre.
  std::vector<std::uint32_t> position_;  ///< Boundary index of each layer.
  /// Least cost of having the activation in each data centre at the boundary
  /// that Relax extends.
  std::vector<double> arrival_;
  std::vector<std::uint32_t> origin_;  ///< Data centre it came from.
};

/// Returns the layers that no usable class holds. `usable_classes` has one
/// entry for each class of the group.
[[nodiscard]] std::vector<schema::LayerRange> UncoveredLayers(
    const Group& group, const std::vector<bool>& usable_classes);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_PLANNER_H_
