#ifndef FOXQUAY_ROUTING_UPSTREAMS_H_
#define FOXQUAY_ROUTING_UPSTREAMS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/routing/failure_record.h"
#include "foxquay/routing/layer_time.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::routing {

/// An upstream as announced, with what this host knows of it.
struct Upstream {
  schema::Announcement announced;
  bool present = true;          ///< Whether it is in the current list.
  bool enabled = true;          ///< Whether policy permits new work.
  std::uint32_t in_flight = 0;  ///< Legs and calls of this host.
  /// Number of this host's last start here.
  std::uint64_t last_start_number = 0;
  std::uint32_t limit = std::numeric_limits<std::uint32_t>::max();
  LayerTimeEstimate layer_time;
  std::uint32_t accelerator_index = 0;  ///< Index of its accelerator.
  FailureRecord failure_record;

  /// Returns whether it may get new work at all.
  [[nodiscard]] bool Open() const noexcept {
    return present && enabled && !announced.leaving;
  }
  /// Returns whether it may get new work now.
  [[nodiscard]] bool Usable(core::Instant now) const noexcept {
    return Open() && in_flight < limit && !failure_record.InBackoff(now);
  }
  /// Returns the streams for each slot, with one more stream than now.
  [[nodiscard]] double StreamsPerSlot() const noexcept;
  /// Returns the factor by which its streams slow each other down.
  [[nodiscard]] double Slowdown() const noexcept;
  /// Returns the time of one layer and token if no stream waits for a slot.
  [[nodiscard]] double LayerSeconds(core::Instant now) const noexcept;
  /// Returns the predicted time of one layer and token for one more stream.
  [[nodiscard]] double LoadedLayerSeconds(core::Instant now) const noexcept;
};

/// Layers of one token that an upstream ran.
struct StageUse {
  core::UpstreamId upstream;
  std::uint32_t layers = 0;
};

/// Position of an upstream in Upstreams; stable while it is present.
using UpstreamIndex = std::uint32_t;

/// All upstreams that this host knows.
///
/// An upstream that left is kept while legs of this host still run on it.
class Upstreams {
 public:
  /// Replaces the list; returns the models whose members or ranges changed.
  [[nodiscard]] std::vector<core::ModelId> Replace(
      const std::vector<schema::Announcement>& announced);

  /// Learns from the time between two tokens of a chain, less its links.
  ///
  /// The error of the prediction is shared by normalized least mean squares
  /// (Widrow and Hoff 1960): the stages of one chain cannot be told apart, but
  /// over different chains the estimates converge.
  void Learn(const std::vector<StageUse>& stages, core::Duration gap,
             core::Instant now);

  /// Returns the upstream with this id, or null.
  [[nodiscard]] Upstream* Find(const core::UpstreamId& id) noexcept;
  [[nodiscard]] const Upstream* Find(const core::UpstreamId& id) const noexcept;

  /// Returns the position of an upstream that is known, or nothing.
  [[nodiscard]] std::optional<UpstreamIndex> IndexOf(
      const core::UpstreamId& id) const;

  [[nodiscard]] const Upstream& operator[](UpstreamIndex index) const noexcept {
    return upstreams_[index];
  }
  [[nodiscard]] std::vector<Upstream>& All() noexcept { return upstreams_; }
  [[nodiscard]] const std::vector<Upstream>& All() const noexcept {
    return upstreams_;
  }

  /// Returns the present upstreams of a model, or of a service.
  [[nodiscard]] const std::vector<UpstreamIndex>& Members(
      const core::ModelId& model) const noexcept;
  [[nodiscard]] const std::vector<UpstreamIndex>& Members(
      const core::ServiceId& service) const noexcept;

 private:
  UpstreamIndex FindOrCreate(const core::UpstreamId& id);
  void Rebuild();
  std::uint32_t AcceleratorIndex(const std::string& accelerator);
  void SetPriors();

  std::vector<Upstream> upstreams_;
  std::vector<UpstreamIndex> free_indices_;
  std::unordered_map<std::string, std::uint32_t> accelerator_indices_;
  std::vector<MeanLayerTime> accelerator_times_;
  MeanLayerTime overall_time_;
  std::unordered_map<core::UpstreamId, UpstreamIndex> index_;
  std::unordered_map<core::ModelId, std::vector<UpstreamIndex>> models_;
  std::unordered_map<core::ServiceId, std::vector<UpstreamIndex>> services_;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_UPSTREAMS_H_
