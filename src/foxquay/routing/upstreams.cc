#include "foxquay/routing/upstreams.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>

namespace foxquay::routing {
namespace internal {

/// Returns whether two announcements are the same in all that matters to a
/// chain or service call.
bool SameCapabilities(const schema::Announcement& a,
                      const schema::Announcement& b) {
  return a.model == b.model && a.service == b.service && a.layers == b.layers &&
         a.model_layers == b.model_layers && a.data_centre == b.data_centre &&
         a.accelerator == b.accelerator && a.adapters == b.adapters &&
         a.versions == b.versions;
}

template <class Map, class Key>
const std::vector<UpstreamIndex>& Lookup(const Map& map, const Key& key) {
  static const std::vector<UpstreamIndex> kNone;
  const auto found = map.find(key);
  return found == map.end() ? kNone : found->second;
}

}  // namespace internal

double Upstream::StreamsPerSlot() const noexcept {
  // Only this host's own work counts. Announced loads lag by up to 600 ms, and
  // hosts that relied on them would all choose the same upstreams until the
  // next announcement.
  return static_cast<double>(in_flight + 1) /
         std::max<std::uint32_t>(announced.slots, 1);
}

double Upstream::Slowdown() const noexcept {
  // Relative increase of the time per token from an empty to a full batch.
  constexpr double kFullBatchSlowdown = 0.25;
  return 1 + kFullBatchSlowdown * std::min(StreamsPerSlot(), 1.0);
}

double Upstream::LayerSeconds(core::Instant now) const noexcept {
  return layer_time.Seconds(now) * Slowdown() *
         failure_record.PenaltyFactor(now);
}

double Upstream::LoadedLayerSeconds(core::Instant now) const noexcept {
  return LayerSeconds(now) * std::max(StreamsPerSlot(), 1.0);
}

std::vector<core::ModelId> Upstreams::Replace(
    const std::vector<schema::Announcement>& announced) {
  std::unordered_set<core::ModelId> changed;
  std::vector<bool> seen(upstreams_.size(), false);
  bool rebuild = false;
  for (const schema::Announcement& next : announced) {
    const UpstreamIndex index = FindOrCreate(next.id);
    if (index >= seen.size()) seen.resize(index + 1, false);
    Upstream& upstream = upstreams_[index];
    seen[index] = true;
    if (!upstream.present ||
        !internal::SameCapabilities(upstream.announced, next)) {
      changed.insert(upstream.announced.model);
      changed.insert(next.model);
      rebuild = true;
      upstream.accelerator_index = AcceleratorIndex(next.accelerator);
    }
    upstream.present = true;
    upstream.announced = next;
  }
  for (UpstreamIndex i = 0; i < upstreams_.size(); ++i) {
    if (seen[i] || !upstreams_[i].present) continue;
    upstreams_[i].present = false;
    changed.insert(upstreams_[i].announced.model);
    rebuild = true;
  }
  if (rebuild) Rebuild();
  SetPriors();
  return {changed.begin(), changed.end()};
}

UpstreamIndex Upstreams::FindOrCreate(const core::UpstreamId& id) {
  const auto found = index_.find(id);
  if (found != index_.end()) return found->second;
  UpstreamIndex index = 0;
  if (free_indices_.empty()) {
    index = static_cast<UpstreamIndex>(upstreams_.size());
    upstreams_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
    upstreams_[index] = Upstream{};
  }
  upstreams_[index].present = false;
  upstreams_[index].announced.id = id;
  index_.emplace(id, index);
  return index;
}

void Upstreams::Rebuild() {
  models_.clear();
  services_.clear();
  for (UpstreamIndex i = 0; i < upstreams_.size(); ++i) {
    const Upstream& upstream = upstreams_[i];
    const schema::Announcement& announced = upstream.announced;
    if (!upstream.present) {
      if (upstream.in_flight == 0 && index_.erase(announced.id) > 0) {
        free_indices_.push_back(i);
      }
      continue;
    }
    if (!announced.model.empty()) models_[announced.model].push_back(i);
    if (!announced.service.empty()) services_[announced.service].push_back(i);
  }
}

std::uint32_t Upstreams::AcceleratorIndex(const std::string& accelerator) {
  const auto [found, added] = accelerator_indices_.emplace(
      accelerator, static_cast<std::uint32_t>(accelerator_times_.size()));
  if (added) accelerator_times_.emplace_back();
  return found->second;
}

void Upstreams::SetPriors() {
  for (Upstream& upstream : upstreams_) {
    const MeanLayerTime& mean = accelerator_times_[upstream.accelerator_index];
    upstream.layer_time.SetPrior(mean.samples > 0 ? mean.seconds
                                                  : overall_time_.seconds);
  }
}

void Upstreams::Learn(const std::vector<StageUse>& stages, core::Duration gap,
                      core::Instant now) {
  constexpr double kStep = 0.3;  // Step size of normalized least mean squares.
  std::vector<Upstream*> used;
  double error = std::chrono::duration<double>(gap).count();
  double norm = 0;
  for (const StageUse& stage : stages) {
    Upstream* upstream = Find(stage.upstream);
    if (upstream == nullptr) return;
    used.push_back(upstream);
    const double weight = stage.layers * upstream->Slowdown();
    error -= weight * upstream->layer_time.Seconds(now);
    norm += weight * weight;
  }
  for (std::size_t i = 0; i < used.size(); ++i) {
    const double weight = stages[i].layers * used[i]->Slowdown();
    used[i]->layer_time.Adjust(kStep * error * weight / norm, now);
    const double seconds = used[i]->layer_time.Seconds(now);
    accelerator_times_[used[i]->accelerator_index].Add(seconds);
    overall_time_.Add(seconds);
  }
}

Upstream* Upstreams::Find(const core::UpstreamId& id) noexcept {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &upstreams_[found->second];
}

const Upstream* Upstreams::Find(const core::UpstreamId& id) const noexcept {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &upstreams_[found->second];
}

std::optional<UpstreamIndex> Upstreams::IndexOf(
    const core::UpstreamId& id) const {
  const auto found = index_.find(id);
  if (found == index_.end()) return std::nullopt;
  return found->second;
}

const std::vector<UpstreamIndex>& Upstreams::Members(
    const core::ModelId& model) const noexcept {
  return internal::Lookup(models_, model);
}

const std::vector<UpstreamIndex>& Upstreams::Members(
    const core::ServiceId& service) const noexcept {
  return internal::Lookup(services_, service);
}

}  // namespace foxquay::routing
