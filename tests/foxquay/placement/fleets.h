#ifndef FOXQUAY_TESTS_FOXQUAY_PLACEMENT_FLEETS_H_
#define FOXQUAY_TESTS_FOXQUAY_PLACEMENT_FLEETS_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "foxquay/placement/capacity.h"
#include "foxquay/placement/plan.h"

namespace foxquay::placement {

/// The model upstreams of a customer and their engine.
struct Fleet {
  schema::Engine engine;
  std::vector<ModelUpstream> upstreams;

  void Add(const std::string& centre, const std::string& kind, int count) {
    for (int at = 0; at < count; ++at) {
      // Names that tell nothing of kind or data centre.
      const std::size_t number = (upstreams.size() * 7919 + 13) % 10007;
      upstreams.push_back({core::UpstreamId("i-" + std::to_string(number)),
                           core::DataCentreId(centre),
                           kind,
                           {}});
    }
  }
};

inline schema::Engine MakeLargeEngine() {
  schema::Engine engine;
  engine.slots = 192;
  engine.layers = 80;
  engine.max_stages = 32;
  engine.layer_mb = 1750;
  engine.load = std::chrono::seconds(14);
  engine.usual_prompt = 774;
  return engine;
}

/// 98 upstreams of four kinds in three data centres.
inline Fleet MagnoliaFleet() {
  Fleet fleet{MakeLargeEngine(), {}};
  fleet.engine.token_memory_mb = 0.393;
  fleet.engine.usual_answer = 180;
  fleet.engine.step = std::chrono::microseconds(850);
  fleet.engine.per_sequence = std::chrono::nanoseconds(2550);
  fleet.engine.context_per_k = std::chrono::nanoseconds(3410);
  fleet.engine.prefill_per_s = 294000;
  fleet.engine.accelerators = {{"h100", 72000, 1.4, 1},
                               {"a100s", 36000, 3.1, 3.2},
                               {"l4", 21600, 16, 8.2},
                               {"t4", 14400, 15, 15}};
  fleet.Add("a", "h100", 1);
  fleet.Add("a", "a100s", 2);
  fleet.Add("a", "l4", 13);
  fleet.Add("a", "t4", 18);
  fleet.Add("b", "h100", 1);
  fleet.Add("b", "a100s", 2);
  fleet.Add("b", "l4", 20);
  fleet.Add("b", "t4", 9);
  fleet.Add("c", "a100s", 4);
  fleet.Add("c", "l4", 11);
  fleet.Add("c", "t4", 17);
  return fleet;
}

/// 86 upstreams of three kinds in three data centres.
inline Fleet TewodrosFleet() {
  Fleet fleet{MakeLargeEngine(), {}};
  fleet.engine.token_memory_mb = 0.59;
  fleet.engine.usual_answer = 222;
  fleet.engine.step = std::chrono::microseconds(1020);
  fleet.engine.per_sequence = std::chrono::nanoseconds(4590);
  fleet.engine.context_per_k = std::chrono::nanoseconds(6150);
  fleet.engine.prefill_per_s = 164000;
  fleet.engine.accelerators = {{"a100", 72000, 2.4, 3.2},
                               {"l40s", 43200, 5.6, 2.7},
                               {"l4", 21600, 16, 8.2}};
  fleet.Add("a", "a100", 2);
  fleet.Add("a", "l40s", 9);
  fleet.Add("a", "l4", 22);
  fleet.Add("b", "a100", 2);
  fleet.Add("b", "l40s", 15);
  fleet.Add("b", "l4", 12);
  fleet.Add("c", "a100", 4);
  fleet.Add("c", "l40s", 6);
  fleet.Add("c", "l4", 14);
  return fleet;
}

inline void Apply(std::vector<ModelUpstream>& upstreams,
                  const std::vector<Assignment>& changes) {
  for (const Assignment& change : changes) {
    const auto found = std::find_if(upstreams.begin(), upstreams.end(),
                                    [&](const ModelUpstream& upstream) {
                                      return upstream.id == change.id;
                                    });
    found->layers = change.layers;
  }
}

/// Returns how many requests the upstreams of a data centre hold at once.
inline std::uint32_t HeldRequests(const schema::Engine& engine,
                                  const std::vector<ModelUpstream>& upstreams,
                                  const core::DataCentreId& centre) {
  for (const CentreCapacity& measured : MeasureCapacity(engine, upstreams)) {
    if (measured.data_centre == centre) return measured.capacity.requests;
  }
  return 0;
}

/// Returns the upstreams that follow `first` in one chain of its data centre,
/// itself included, up to `size`, as positions; these fail together.
inline std::vector<std::size_t> GroupAt(
    const std::vector<ModelUpstream>& upstreams, std::size_t first,
    std::size_t size) {
  std::vector<std::size_t> group = {first};
  while (group.size() < size) {
    const ModelUpstream& last = upstreams[group.back()];
    const auto next = std::find_if(
        upstreams.begin(), upstreams.end(), [&last](const auto& upstream) {
          return upstream.data_centre == last.data_centre &&
                 !upstream.layers.empty() &&
                 upstream.layers.first == last.layers.end;
        });
    if (next == upstreams.end()) break;
    group.push_back(static_cast<std::size_t>(next - upstreams.begin()));
  }
  return group;
}

}  // namespace foxquay::placement

#endif  // FOXQUAY_TESTS_FOXQUAY_PLACEMENT_FLEETS_H_
