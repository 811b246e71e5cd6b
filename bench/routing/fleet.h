#ifndef FOXQUAY_BENCH_ROUTING_FLEET_H_
#define FOXQUAY_BENCH_ROUTING_FLEET_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/schema/announcement.h"

namespace foxquay::bench {

inline constexpr std::uint32_t kModelLayers = 80;

/// Returns `count` upstreams of `models` models as at the planned size: 8 kinds
/// of accelerator, up to 20 data centres, layer ranges that overlap.
inline std::vector<schema::Announcement> Fleet(std::size_t count,
                                               std::size_t models) {
  constexpr std::array<schema::LayerRange, 6> kRanges{
      {{0, 19}, {16, 43}, {40, 59}, {56, 79}, {0, 39}, {40, 79}}};
  constexpr std::size_t kAccelerators = 8;
  const std::size_t data_centres = std::clamp<std::size_t>(count / 20, 3, 20);
  std::vector<schema::Announcement> fleet(count);
  for (std::size_t i = 0; i < count; ++i) {
    schema::Announcement& announced = fleet[i];
    const std::size_t member = i / models;
    announced.id = core::UpstreamId("u" + std::to_string(i));
    announced.address = "10.0.0.1:9000";
    announced.kind = "model";
    announced.model = core::ModelId("m" + std::to_string(i % models));
    announced.layers = kRanges[member % kRanges.size()];
    announced.model_layers = kModelLayers;
    announced.data_centre = core::DataCentreId(
        "d" + std::to_string(member / kRanges.size() % data_centres));
    announced.accelerator = "k" + std::to_string(member % kAccelerators);
    announced.versions = {"v1"};
    announced.slots = 16;
  }
  return fleet;
}

}  // namespace foxquay::bench

#endif  // FOXQUAY_BENCH_ROUTING_FLEET_H_
