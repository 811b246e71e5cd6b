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

/// An upstream as announced, with this host's own state for it.
struct Upstream {
  schema::Announcement announced;
  bool present = true;          ///< Whether it is in the current list.
  bool enabled = true;          ///< Whether policy permits new work.
  std::uint32_t in_flight = 0;  ///< Legs and calls of this host on it.
  /// Sequence number of the work that this host started on it last; 0 if none.
  std::uint64_t last_start_number = 0;
  /// Most legs and calls of this host at once.
  std::uint32_t limit = std::numeric_limits<std::uint32_t>::max();
  LayerTimeEstimate layer_time;
  /// Index of its accelerator's mean layer time.
  std::uint32_t accelerator_index = 0;
  FailureRecord failure_record;

  /// Returns whether it is listed, enabled and not leaving.
  [[nodiscard]] bool Open() const noexcept {
    return present && enabled && !announced.leaving;
  }
  /// Returns whether it may get new work now: open, below its limit and not in
  /// back-off.
  [[nodiscard]] bool Usable(core::Instant now) const noexcept {
    return Open() && in_flight < limit && !failure_record.InBackoff(now);
  }
  /// Returns this host's streams per batch slot, counting one more stream than
  /// now.
  [[nodiscard]] double StreamsPerSlot() const noexcept;
  /// Returns the factor by which streams in one batch slow each other down.
  [[nodiscard]] double Slowdown() const noexcept;
  /// Returns the predicted seconds for one layer of one token if no stream
  /// waits for a slot, including the penalty for failures.
  [[nodiscard]] double LayerSeconds(core::Instant now) const noexcept;
  /// Returns the predicted seconds for one layer of one token of one more
  /// stream, including the wait for a slot.
  [[nodiscard]] double LoadedLayerSeconds(core::Instant now) const noexcept;
};

/// Number of layers that an upstream ran for each token of a chain.
struct StageUse {
  core::UpstreamId upstream;
  std::uint32_t layers = 0;
};

/// Index of an upstream in Upstreams; stable while the upstream is known.
using UpstreamIndex = std::uint32_t;

/// All upstreams that this host knows. Not thread-safe.
///
/// An upstream that is no longer listed is kept while legs of this host still
/// run on it.
class Upstreams {
 public:
  /// Replaces the list. Returns the models whose upstreams were added, removed
  /// or changed in what matters to a chain.
  [[nodiscard]] std::vector<core::ModelId> Replace(
      const std::vector<schema::Announcement>& announced);

  /// Learns layer times from `gap`, the time between two tokens of a chain less
  /// its network time. Ignored if an upstream of `stages` is not known.
  ///
  /// The prediction error is distributed over the stages by normalized least
  /// mean squares (Widrow and Hoff 1960). One chain does not tell its stages
  /// apart, but over different chains the estimates converge.
  void Learn(const std::vector<StageUse>& stages, core::Duration gap,
             core::Instant now);

  /// Returns the upstream with this id, or null.
  [[nodiscard]] Upstream* Find(const core::UpstreamId& id) noexcept;
  [[nodiscard]] const Upstream* Find(const core::UpstreamId& id) const noexcept;

  /// Returns the index of a known upstream, or nothing.
  [[nodiscard]] std::optional<UpstreamIndex> IndexOf(
      const core::UpstreamId& id) const;

  /// Precondition: `index` is valid.
  [[nodiscard]] const Upstream& operator[](UpstreamIndex index) const noexcept {
    return upstreams_[index];
  }
  /// Returns all entries, also unused ones, which are not present.
  [[nodiscard]] std::vector<Upstream>& All() noexcept { return upstreams_; }
  [[nodiscard]] const std::vector<Upstream>& All() const noexcept {
    return upstreams_;
  }

  /// Returns the listed upstreams of a model, or of a service.
  [[nodiscard]] const std::vector<UpstreamIndex>& Members(
      const core::ModelId& model) const noexcept;
  [[nodiscard]] const std::vector<UpstreamIndex>& Members(
      const core::ServiceId& service) const noexcept;

 private:
  /// Returns the index of an upstream; a new one is not present yet.
  UpstreamIndex FindOrCreate(const core::UpstreamId& id);
  /// Rebuilds the members by model and service and frees unused entries.
  void Rebuild();
  /// Returns the index of an accelerator in `accelerator_times_`, added if new.
  std::uint32_t AcceleratorIndex(const std::string& accelerator);
  /// Sets the prior of each upstream to the mean of its accelerator or, if that
  /// has no samples, of all upstreams.
  void SetPriors();

  std::vector<Upstream> upstreams_;
  std::vector<UpstreamIndex> free_indices_;  ///< Entries to be used again.
  std::unordered_map<std::string, std::uint32_t> accelerator_indices_;
  std::vector<MeanLayerTime> accelerator_times_;
  MeanLayerTime overall_time_;
  std::unordered_map<core::UpstreamId, UpstreamIndex> index_;
  std::unordered_map<core::ModelId, std::vector<UpstreamIndex>> models_;
  std::unordered_map<core::ServiceId, std::vector<UpstreamIndex>> services_;
};

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_UPSTREAMS_H_
