#include "foxquay/relay/upstreams.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "foxquay/placement/plan.h"
#include "foxquay/placement/reconciler.h"

namespace foxquay::relay {
namespace internal {

/// Time for which an upstream is avoided after its first failure; about the
/// time that a restarted upstream takes to announce itself again.
constexpr core::Duration kInitialAvoidance = std::chrono::milliseconds(1000);

/// Maximum number of times that the avoidance is doubled.
constexpr int kMaxDoublings = 3;

/// Time for which all hops of a path are avoided when one of them failed and it
/// is not known which.
constexpr core::Duration kPathAvoidance = std::chrono::milliseconds(700);

/// Time for which an upstream that rejected a request is avoided: that in which
/// the change of its layers reaches this host.
constexpr core::Duration kRejectionAvoidance = std::chrono::milliseconds(400);

/// Factor on the time that a prompt takes between two data centres. Each such
/// prompt delays all others that cross, and chains within one data centre meet
/// the latency targets by themselves.
constexpr double kCrossingWeight = 40;

/// Time within which failures at an upstream count as one: connections of this
/// host that are reset together say little about the upstream.
constexpr core::Duration kFailureMergeWindow = std::chrono::milliseconds(250);

/// Fraction of the memory for requests above which a stage counts as full.
/// Beyond it, the engine preempts its newest request.
constexpr double kMaxMemoryFraction = 0.9;

/// Returns the tokens that a request holds in memory on average: its answer
/// grows from zero to its full length.
double MeanTokens(const Work& work) {
  return work.prompt_tokens + work.answer_tokens / 2;
}

/// Latency below which two upstreams of a plain service count as equally fast.
constexpr core::Duration kMinLatency = std::chrono::milliseconds(20);

/// Time that passing a request to the next stage takes.
constexpr core::Duration kHandoffTime = std::chrono::microseconds(300);

using Seconds = std::chrono::duration<double>;

core::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<core::Duration>(Seconds(seconds));
}

double ToSeconds(core::Duration duration) { return Seconds(duration).count(); }

}  // namespace internal

void Upstreams::Set(const std::vector<schema::Announcement>& announcements,
                    core::Instant) {
  for (auto& [id, entry] : entries_) entry.present = false;
  for (const schema::Announcement& announcement : announcements) {
    Entry& entry = entries_[announcement.id];
    const bool restarted = entry.announcement.born != announcement.born;
    if (restarted) {
      entry.consecutive_failures = 0;
      entry.avoid_until = {};
      entry.latency = {};
    }
    entry.announcement = announcement;
    entry.present = true;
  }
  std::erase_if(entries_, [](const auto& item) {
    return !item.second.present && item.second.in_flight == 0;
  });
}

bool FirstHops::Allows(const core::UpstreamId& upstream) const {
  const auto in = [&upstream](const std::vector<core::UpstreamId>& list) {
    return std::find(list.begin(), list.end(), upstream) != list.end();
  };
  return !in(avoid) && (only.empty() || in(only));
}

bool Upstreams::Usable(const Entry& entry, core::Instant now) {
  return entry.present && now >= entry.avoid_until;
}

std::vector<Hop> Upstreams::ChoosePath(const schema::Service& service,
                                       const Work& work, const FirstHops& first,
                                       core::Instant now, NoPath& reason) {
  if (service.engine && service.engine->layers > 0) {
    std::vector<Hop> hops =
        ChooseChain(service, work, first, false, now, reason);
    if (hops.empty() && reason == NoPath::kBusy) {
      hops = ChooseChain(service, work, first, true, now, reason);
    }
    return hops;
  }
  return ChoosePlain(service, first, now, reason);
}

std::vector<Hop> Upstreams::ChoosePlain(const schema::Service& service,
                                        const FirstHops& first,
                                        core::Instant now, NoPath& reason) {
  reason = NoPath::kNoUpstream;
  const Entry* best = nullptr;
  std::tuple<core::Duration, std::uint64_t> least;
  ++rotation_;
  std::uint64_t position = 0;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    reason = NoPath::kBusy;
    ++position;
    if (!Usable(entry, now) || !first.Allows(id)) continue;
    const std::size_t slots =
        std::max<std::size_t>(1, entry.announcement.slots);
    if (entry.in_flight >= slots) continue;
    const core::Duration wait =
        std::max(entry.latency.MeanLatency(now), internal::kMinLatency) *
        static_cast<std::int64_t>(1 + entry.in_flight);
    const auto cost =
        std::make_tuple(wait, (position + rotation_) % (entries_.size() + 1));
    if (best == nullptr || cost < least) {
      best = &entry;
      least = cost;
    }
  }
  if (best == nullptr) return {};
  return {{best->announcement.id, best->announcement.address, {}}};
}

std::optional<placement::Candidate> Upstreams::EstimateCost(
    const Entry& entry, const schema::Engine& engine, const Work& work) const {
  const schema::Announcement& announcement = entry.announcement;
  const placement::Range layers = placement::HeldLayers(announcement);
  const schema::Accelerator* accelerator =
      placement::FindAccelerator(engine, announcement.accelerator);
  if (layers.empty() || accelerator == nullptr) return std::nullopt;
  const auto hosts = static_cast<double>(hosts_);
  const double sequences = static_cast<double>(entry.in_flight) * hosts;
  const double capacity =
      placement::TokensThatFit(engine, announcement.accelerator, layers.size());
  const double demand =
      entry.tokens * hosts + work.prompt_tokens + work.answer_tokens;
  // With at most one request here, the assumption that every host has as many
  // is too coarse.
  if (entry.in_flight > 1 && demand > internal::kMaxMemoryFraction * capacity) {
    return std::nullopt;
  }
  const double step =
      accelerator->pace *
      (internal::ToSeconds(engine.step) +
       internal::ToSeconds(engine.per_sequence) * (sequences + 1) +
       internal::ToSeconds(engine.context_per_k) * entry.tokens * hosts / 1000);
  const double read =
      accelerator->read_factor / engine.prefill_per_s * work.prompt_tokens;
  placement::Candidate candidate;
  candidate.layers = layers;
  candidate.data_centre = announcement.data_centre;
  candidate.fixed = internal::kHandoffTime;
  candidate.per_layer = internal::ToDuration(
      (work.answer_tokens * step + read * (1 + sequences / 4)) / engine.layers);
  return candidate;
}

std::vector<Hop> Upstreams::ChooseChain(const schema::Service& service,
                                        const Work& work,
                                        const FirstHops& first,
                                        bool include_deprioritized,
                                        core::Instant now, NoPath& reason) {
  const schema::Engine& engine = *service.engine;
  std::vector<const Entry*> entries;
  std::vector<placement::Candidate> announced;
  std::vector<placement::Candidate> candidates;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    auto candidate = EstimateCost(entry, engine, work);
    placement::Candidate layers_only;
    layers_only.layers = placement::HeldLayers(entry.announcement);
    announced.push_back(layers_only);
    if (!candidate || !Usable(entry, now)) continue;
    if (!include_deprioritized && now < entry.deprioritized_until) continue;
    if (candidate->layers.first == 0) {
      candidate->fixed +=
          entry.latency.Slowdown(now) *
          static_cast<std::int64_t>(1 + work.answer_tokens / engine.stride);
    }
    if (candidate->layers.first == 0 && !first.Allows(id)) continue;
    candidate->upstream = entries.size();
    entries.push_back(&entry);
    candidates.push_back(*candidate);
  }
  // All traffic between two data centres shares one link. Prompts dominate it;
  // the tokens of an answer add little.
  const double bits =
      8 * engine.activation_bytes * (work.prompt_tokens + work.answer_tokens);
  const core::Duration crossing =
      engine.pipe_mbps > 0
          ? internal::ToDuration(internal::kCrossingWeight * bits /
                                 (engine.pipe_mbps * 1e6))
          : core::Duration::zero();
  const placement::Chain chain =
      placement::CheapestChain(candidates, engine.layers, crossing);
  std::vector<Hop> hops;
  const bool too_long =
      engine.max_stages > 0 && chain.stages.size() > engine.max_stages;
  for (const placement::Stage& stage : chain.stages) {
    if (too_long) break;
    const schema::Announcement& announcement =
        entries[stage.upstream]->announcement;
    hops.push_back({announcement.id, announcement.address, stage.layers});
  }
  if (hops.empty()) {
    const bool complete =
        placement::FirstMissingLayer(announced, engine.layers) == engine.layers;
    reason = complete ? NoPath::kBusy
                      : (announced.empty() ? NoPath::kNoUpstream
                                           : NoPath::kNoLayers);
  }
  return hops;
}

void Upstreams::Begin(const std::vector<Hop>& hops, const Work& work) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    ++found->second.in_flight;
    found->second.tokens += internal::MeanTokens(work);
    found->second.token_layers +=
        internal::MeanTokens(work) * hop.layers.size();
  }
}

void Upstreams::End(const std::vector<Hop>& hops, const Work& work) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (entry.in_flight > 0) --entry.in_flight;
    entry.tokens = std::max(0.0, entry.tokens - internal::MeanTokens(work));
    entry.token_layers =
        std::max(0.0, entry.token_layers -
                          internal::MeanTokens(work) * hop.layers.size());
    if (!entry.present && entry.in_flight == 0) entries_.erase(found);
  }
}

void Upstreams::RecordFailure(const core::UpstreamId& upstream,
                              core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const int doublings =
      std::min(entry.consecutive_failures, internal::kMaxDoublings);
  if (now >= entry.avoid_until) ++entry.consecutive_failures;
  entry.avoid_until = std::max(
      entry.avoid_until, now + internal::kInitialAvoidance * (1 << doublings));
}

void Upstreams::RecordLatency(const core::UpstreamId& upstream,
                              core::Duration time, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found != entries_.end()) found->second.latency.Record(time, now);
}

void Upstreams::RecordRejection(const core::UpstreamId& upstream,
                                core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.avoid_until =
      std::max(entry.avoid_until, now + internal::kRejectionAvoidance);
}

void Upstreams::RecordPossibleFailure(const core::UpstreamId& upstream,
                                      core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (now - entry.last_possible_failure < internal::kFailureMergeWindow) return;
  entry.last_possible_failure = now;
  if (entry.consecutive_failures > 0) {
    RecordFailure(upstream, now);
  } else {
    ++entry.consecutive_failures;
  }
}

void Upstreams::RecordPathFailure(const std::vector<Hop>& hops,
                                  core::Instant now) {
  if (hops.size() == 1) {
    RecordFailure(hops.front().upstream, now);
    return;
  }
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    found->second.deprioritized_until = now + internal::kPathAvoidance;
  }
}

void Upstreams::RecordSuccess(const std::vector<Hop>& hops) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found != entries_.end()) found->second.consecutive_failures = 0;
  }
}

bool Upstreams::Known(const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found != entries_.end() && found->second.present;
}

std::optional<core::UpstreamId> Upstreams::FindByAddress(
    const std::string& address) const {
  for (const auto& [id, entry] : entries_) {
    if (entry.present && entry.announcement.address == address) return id;
  }
  return std::nullopt;
}

}  // namespace foxquay::relay
