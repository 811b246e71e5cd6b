#include "foxquay/relay/upstreams.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "foxquay/placement/plan.h"
#include "foxquay/placement/reconciler.h"

namespace foxquay::relay {
namespace internal {

/// First time for which an upstream is avoided after a failure; about the time
/// in which a restarted upstream announces itself again.
constexpr core::Duration kFirstAvoidance = std::chrono::milliseconds(1000);

/// Longest such time, in doublings of the first.
constexpr int kMaxDoublings = 3;

/// Time for which each hop of a way is avoided when one of them failed and it
/// is not known which.
constexpr core::Duration kSharedAvoidance = std::chrono::milliseconds(700);

/// Time for which an upstream that turned work away is avoided: that in which
/// its changed layers reach this host.
constexpr core::Duration kRest = std::chrono::milliseconds(400);

/// Factor on the time that a prompt takes between two data centres: each such
/// prompt holds up all others that cross, and the chains of one data centre
/// meet the targets by themselves.
constexpr double kCrossingWeight = 40;

/// Time within which failures at an upstream count as one: connections of this
/// host that are reset together say little of the upstream.
constexpr core::Duration kOneEvent = std::chrono::milliseconds(250);

/// Part of the memory for requests that is filled before a stage counts as
/// full; the engine preempts its newest request beyond.
constexpr double kFullMemory = 0.9;

/// Tokens that a request holds in memory on average: its answer grows.
double Tokens(const Work& work) {
  return work.prompt_tokens + work.answer_tokens / 2;
}

/// Shortest time that tells two upstreams of a plain service apart.
constexpr core::Duration kUnitTime = std::chrono::milliseconds(20);

/// Time that handing a request to another stage takes.
constexpr core::Duration kHopTime = std::chrono::microseconds(300);

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
    const bool reborn = entry.announcement.born != announcement.born;
    if (reborn) {
      entry.failures = 0;
      entry.avoid_until = {};
      entry.pace = {};
    }
    entry.announcement = announcement;
    entry.present = true;
  }
  std::erase_if(entries_, [](const auto& item) {
    return !item.second.present && item.second.running == 0;
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

std::vector<Hop> Upstreams::Choose(const schema::Service& service,
                                   const Work& work, const FirstHops& first,
                                   core::Instant now, NoWay& why) {
  if (service.engine && service.engine->layers > 0) {
    std::vector<Hop> hops = ChooseChain(service, work, first, false, now, why);
    if (hops.empty() && why == NoWay::kBusy) {
      hops = ChooseChain(service, work, first, true, now, why);
    }
    return hops;
  }
  return ChoosePlain(service, first, now, why);
}

std::vector<Hop> Upstreams::ChoosePlain(const schema::Service& service,
                                        const FirstHops& first,
                                        core::Instant now, NoWay& why) {
  why = NoWay::kUnknown;
  const Entry* best = nullptr;
  std::tuple<core::Duration, std::uint64_t> least;
  ++turn_;
  std::uint64_t position = 0;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    why = NoWay::kBusy;
    ++position;
    if (!Usable(entry, now) || !first.Allows(id)) continue;
    const std::size_t slots =
        std::max<std::size_t>(1, entry.announcement.slots);
    if (entry.running >= slots) continue;
    const core::Duration wait =
        std::max(entry.pace.Time(now), internal::kUnitTime) *
        static_cast<std::int64_t>(1 + entry.running);
    const auto rank =
        std::make_tuple(wait, (position + turn_) % (entries_.size() + 1));
    if (best == nullptr || rank < least) {
      best = &entry;
      least = rank;
    }
  }
  if (best == nullptr) return {};
  return {{best->announcement.id, best->announcement.address, {}}};
}

std::optional<placement::Candidate> Upstreams::Price(
    const Entry& entry, const schema::Engine& engine, const Work& work) const {
  const schema::Announcement& announcement = entry.announcement;
  const placement::Range layers = placement::HeldLayers(announcement);
  const schema::Accelerator* accelerator =
      placement::FindAccelerator(engine, announcement.accelerator);
  if (layers.empty() || accelerator == nullptr) return std::nullopt;
  const auto hosts = static_cast<double>(hosts_);
  const double sequences = static_cast<double>(entry.running) * hosts;
  const double room =
      placement::TokensThatFit(engine, announcement.accelerator, layers.size());
  const double taken =
      entry.tokens * hosts + work.prompt_tokens + work.answer_tokens;
  // With few requests the assumption that all hosts have as many is too coarse.
  if (entry.running > 1 && taken > internal::kFullMemory * room) {
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
  candidate.fixed = internal::kHopTime;
  candidate.per_layer = internal::ToDuration(
      (work.answer_tokens * step + read * (1 + sequences / 4)) / engine.layers);
  return candidate;
}

std::vector<Hop> Upstreams::ChooseChain(const schema::Service& service,
                                        const Work& work,
                                        const FirstHops& first, bool doubtful,
                                        core::Instant now, NoWay& why) {
  const schema::Engine& engine = *service.engine;
  std::vector<const Entry*> entries;
  std::vector<placement::Candidate> held;
  std::vector<placement::Candidate> candidates;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    auto candidate = Price(entry, engine, work);
    placement::Candidate holder;
    holder.layers = placement::HeldLayers(entry.announcement);
    held.push_back(holder);
    if (!candidate || !Usable(entry, now)) continue;
    if (!doubtful && now < entry.doubt_until) continue;
    if (candidate->layers.first == 0) {
      candidate->fixed +=
          entry.pace.Lag(now) *
          static_cast<std::int64_t>(1 + work.answer_tokens / engine.stride);
    }
    if (candidate->layers.first == 0 && !first.Allows(id)) continue;
    candidate->upstream = entries.size();
    entries.push_back(&entry);
    candidates.push_back(*candidate);
  }
  // Prompts cross a pipe that all share; tokens of the answer weigh little.
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
    const bool whole =
        placement::FirstMissingLayer(held, engine.layers) == engine.layers;
    why = whole ? NoWay::kBusy
                : (held.empty() ? NoWay::kUnknown : NoWay::kNoLayers);
  }
  return hops;
}

void Upstreams::Begin(const std::vector<Hop>& hops, const Work& work) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    ++found->second.running;
    found->second.tokens += internal::Tokens(work);
    found->second.token_layers += internal::Tokens(work) * hop.layers.size();
  }
}

void Upstreams::End(const std::vector<Hop>& hops, const Work& work) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (entry.running > 0) --entry.running;
    entry.tokens = std::max(0.0, entry.tokens - internal::Tokens(work));
    entry.token_layers = std::max(
        0.0, entry.token_layers - internal::Tokens(work) * hop.layers.size());
    if (!entry.present && entry.running == 0) entries_.erase(found);
  }
}

void Upstreams::Suspect(const core::UpstreamId& upstream, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const int doublings = std::min(entry.failures, internal::kMaxDoublings);
  if (now >= entry.avoid_until) ++entry.failures;
  entry.avoid_until = std::max(
      entry.avoid_until, now + internal::kFirstAvoidance * (1 << doublings));
}

void Upstreams::RecordLatency(const core::UpstreamId& upstream,
                              core::Duration time, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found != entries_.end()) found->second.pace.Note(time, now);
}

void Upstreams::Rest(const core::UpstreamId& upstream, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.avoid_until = std::max(entry.avoid_until, now + internal::kRest);
}

void Upstreams::Doubt(const core::UpstreamId& upstream, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (now - entry.doubted < internal::kOneEvent) return;
  entry.doubted = now;
  if (entry.failures > 0) {
    Suspect(upstream, now);
  } else {
    ++entry.failures;
  }
}

void Upstreams::SuspectAny(const std::vector<Hop>& hops, core::Instant now) {
  if (hops.size() == 1) {
    Suspect(hops.front().upstream, now);
    return;
  }
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    found->second.doubt_until = now + internal::kSharedAvoidance;
  }
}

void Upstreams::Trust(const std::vector<Hop>& hops) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found != entries_.end()) found->second.failures = 0;
  }
}

bool Upstreams::Known(const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found != entries_.end() && found->second.present;
}

std::optional<core::UpstreamId> Upstreams::At(
    const std::string& address) const {
  for (const auto& [id, entry] : entries_) {
    if (entry.present && entry.announcement.address == address) return id;
  }
  return std::nullopt;
}

}  // namespace foxquay::relay
