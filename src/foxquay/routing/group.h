#ifndef FOXQUAY_ROUTING_GROUP_H_
#define FOXQUAY_ROUTING_GROUP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/routing/links.h"
#include "foxquay/routing/upstreams.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// Upstreams that are interchangeable in a chain: they hold the same layers in
/// the same data centre on the same accelerator.
struct StageClass {
  schema::LayerRange layers;
  std::string accelerator;
  std::uint32_t data_centre_index = 0;  ///< Index into Group::data_centres.
  std::vector<UpstreamIndex> members;
  std::vector<std::uint32_t> ends;  ///< Layers before which a stage may end.
};

/// Upstreams of one model, adapter and version, which can form a chain
/// together.
struct Group {
  std::string version;
  std::uint32_t layers = 0;  ///< Layers of the whole model.
  std::vector<StageClass> classes;
  std::vector<std::uint32_t> boundaries;  ///< Layers at which stages may start
                                          ///< or end, ascending, 0 to `layers`.
  /// Data centres of the members; the host's own comes first.
  std::vector<core::DataCentreId> data_centres;
  /// Index into `classes` of each member.
  std::unordered_map<UpstreamIndex, std::uint32_t> class_of;
  /// Network seconds between each two of `data_centres`, row by row.
  std::vector<double> links;
};

/// Builds the groups of a model for an adapter, one for each version and number
/// of layers that is announced.
///
/// An empty `adapter` is no condition. `version`, if present, limits the result
/// to one version; upstreams that announce none have the empty version.
[[nodiscard]] std::vector<Group> BuildGroups(
    const Upstreams& upstreams, const core::ModelId& model,
    const std::string& adapter, const std::optional<std::string>& version,
    const core::DataCentreId& local_data_centre, const LinkTable& links);

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_GROUP_H_
