#include "foxquay/relay/upstreams.h"

#include <algorithm>
#include <cmath>
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

/// Age at which a mix is computed anew; about the age of the load reports.
constexpr core::Duration kMixLifetime = std::chrono::milliseconds(500);

/// Relative change of the load at which a mix is computed anew.
constexpr double kMixLoadChange = 0.25;

/// Use of the upstreams up to which requests stay in their data centre, and
/// from which on they are spread over all: callers of the data centres differ
/// in number, and near the room of all each must be used by its own.
constexpr double kLocalUse = 0.7;
constexpr double kSpreadUse = 0.9;

/// Time for which an upstream that said that it leaves is remembered after it
/// has left the list. Longer than a late announcement is delayed.
constexpr core::Duration kLeavingMemory = std::chrono::minutes(2);

/// Latency below which two upstreams of a plain service count as equally fast.
constexpr core::Duration kMinLatency = std::chrono::milliseconds(20);

/// Time that passing a request to the next stage takes.
constexpr core::Duration kHandoffTime = std::chrono::microseconds(300);

using Seconds = std::chrono::duration<double>;

core::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<core::Duration>(Seconds(seconds));
}

/// Returns what passing a request between two data centres takes. All traffic
/// between them shares one link. Prompts dominate it; the tokens of an answer
/// add little.
Crossing MakeCrossing(const schema::Engine& engine, const Work& work) {
  if (engine.pipe_mbps <= 0) return {};
  const double bits =
      8 * engine.activation_bytes * (work.prompt_tokens + work.answer_tokens);
  const core::Duration time = ToDuration(bits / (engine.pipe_mbps * 1e6));
  return {core::Scale(time, kCrossingWeight), time};
}

}  // namespace internal

std::string FormatPath(const std::vector<Hop>& hops) {
  std::string text;
  for (const Hop& hop : hops) {
    if (!text.empty()) text += ',';
    text += hop.address;
    if (hop.layers.empty()) continue;
    text += '/' + std::to_string(hop.layers.first) + '-' +
            std::to_string(hop.layers.end);
  }
  return text;
}

void Upstreams::Set(const std::vector<schema::Announcement>& announcements,
                    core::Instant now) {
  ++changes_;
  for (auto& [id, entry] : entries_) entry.present = false;
  for (const schema::Announcement& announcement : announcements) {
    Entry& entry = entries_[announcement.id];
    const bool restarted = entry.announcement.born != announcement.born;
    if (restarted) {
      entry.consecutive_failures = 0;
      entry.avoid_until = {};
      entry.failed_until = {};
      entry.left_at.reset();
      entry.latency = {};
    }
    entry.announcement = announcement;
    entry.present = true;
  }
  std::erase_if(entries_, [now](const auto& item) {
    return !item.second.present && item.second.in_flight == 0 &&
           !Remembered(item.second, now);
  });
  hold_offs_.Expire(now);
}

bool FirstHops::Allows(const core::UpstreamId& upstream) const {
  const auto in = [&upstream](const std::vector<core::UpstreamId>& list) {
    return std::find(list.begin(), list.end(), upstream) != list.end();
  };
  return !in(avoid) && (only.empty() || in(only));
}

bool Upstreams::Usable(const Entry& entry, core::Instant now) const {
  return entry.present && now >= entry.avoid_until && !entry.left_at &&
         !hold_offs_.Active(entry.announcement.id, now);
}

bool Upstreams::Limited(const Entry& entry) const {
  return limits_.Limited(entry.announcement.id, entry.announcement.born);
}

bool Upstreams::WithinLimit(const Entry& entry, core::Instant now) const {
  return limits_.Allows(entry.announcement.id, entry.announcement.born, now);
}

bool Upstreams::RecordLimit(const core::UpstreamId& upstream,
                            std::optional<double> rate, core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return false;
  const schema::Announcement& announcement = found->second.announcement;
  const bool changed = limits_.RecordAnswer(upstream, announcement.service,
                                            announcement.born, rate, now);
  if (changed) ++changes_;
  return changed;
}

bool Upstreams::Remembered(const Entry& entry, core::Instant now) {
  return entry.left_at && now - *entry.left_at < internal::kLeavingMemory;
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
  std::tuple<bool, core::Duration, std::uint64_t> least;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    reason = NoPath::kBusy;
    if (!Usable(entry, now) || !first.Allows(id)) continue;
    if (!WithinLimit(entry, now)) continue;
    const std::size_t slots =
        std::max<std::size_t>(1, entry.announcement.slots);
    if (entry.in_flight >= slots) continue;
    const core::Duration wait =
        std::max(entry.latency.RecentLatency(now), internal::kMinLatency) *
        static_cast<std::int64_t>(1 + entry.in_flight);
    const auto cost =
        std::make_tuple(now < entry.deprioritized_until, wait, entry.last_used);
    if (best == nullptr || cost < least) {
      best = &entry;
      least = cost;
    }
  }
  if (best == nullptr) return {};
  return {{best->announcement.id, best->announcement.address, {}}};
}

double Upstreams::TotalRequests() const {
  if (open_requests_) return std::max(*open_requests_, own_requests_);
  return own_requests_ * static_cast<double>(hosts_);
}

StageLoad Upstreams::EstimateLoad(const Entry& entry) const {
  const double total = TotalRequests();
  const double others = total > 0 ? 1 - own_requests_ / total : 0;
  return {entry.mixed.sequences * others + static_cast<double>(entry.in_flight),
          entry.mixed.tokens * others + entry.tokens};
}

std::optional<MixStage> Upstreams::MakeStage(const Entry& entry,
                                             const schema::Service& service,
                                             const Work& work,
                                             bool include_deprioritized,
                                             core::Instant now) const {
  const schema::Announcement& announcement = entry.announcement;
  const schema::Engine& engine = *service.engine;
  if (!Usable(entry, now) || announcement.service != service.id) {
    return std::nullopt;
  }
  if (!include_deprioritized && now < entry.deprioritized_until) {
    return std::nullopt;
  }
  const placement::Range layers = placement::HeldLayers(announcement);
  const schema::Accelerator* accelerator =
      placement::FindAccelerator(engine, announcement.accelerator);
  if (layers.empty() || accelerator == nullptr) return std::nullopt;
  MixStage stage(StageCost(engine, *accelerator, layers));
  stage.candidate.layers = layers;
  stage.candidate.data_centre = announcement.data_centre;
  stage.candidate.fixed = internal::kHandoffTime;
  if (layers.first == 0) {
    stage.candidate.fixed +=
        entry.latency.Slowdown(now) *
        static_cast<std::int64_t>(1 + work.answer_tokens / engine.stride);
  }
  return stage;
}

std::vector<Hop> Upstreams::ChooseChain(const schema::Service& service,
                                        const Work& work,
                                        const FirstHops& first,
                                        bool include_deprioritized,
                                        core::Instant now, NoPath& reason) {
  const bool shared = hosts_ > 1 || TotalRequests() >= own_requests_ + 1;
  const bool holds_leave = limits_.HoldsLeave(service.id, now);
  if (shared && !include_deprioritized && !holds_leave) {
    std::vector<Hop> hops = ChooseFromMix(service, work, first, now);
    if (!hops.empty()) return hops;
  }
  return ChooseCheapest(service, work, first, include_deprioritized, now,
                        reason);
}

const Upstreams::Mix& Upstreams::UpdateMix(const schema::Service& service,
                                           core::Instant now) {
  const schema::Engine& engine = *service.engine;
  Mix& mix = mixes_[service.id];
  const double requests = TotalRequests();
  const bool current =
      mix.changes == changes_ &&
      now - mix.computed_at < internal::kMixLifetime &&
      std::abs(requests - mix.requests) <=
          internal::kMixLoadChange * std::max(1.0, mix.requests);
  if (current && !mix.chains.empty()) return mix;
  const Work usual{engine.usual_prompt, engine.usual_answer};
  std::vector<Entry*> entries;
  std::vector<MixStage> stages;
  for (auto& [id, entry] : entries_) {
    if (entry.announcement.service != service.id) continue;
    entry.mixed = {};
    if (Limited(entry)) continue;
    auto stage = MakeStage(entry, service, usual, false, now);
    if (!stage) continue;
    entries.push_back(&entry);
    stages.push_back(*std::move(stage));
  }
  const LoadPlan plan =
      PlanLoad(stages, engine.layers, internal::MakeCrossing(engine, usual),
               usual, requests, mix.room);
  const double scale = requests / plan.requests;
  for (std::size_t index = 0; index < stages.size(); ++index) {
    const StageLoad& load = stages[index].load;
    entries[index]->mixed = {load.sequences * scale, load.tokens * scale};
  }
  mix = {{}, {}, plan.room, now, requests, changes_};
  std::vector<core::Duration> times;
  for (const placement::Chain& chain : plan.chains) {
    if (engine.max_stages > 0 && chain.stages.size() > engine.max_stages) {
      continue;
    }
    std::vector<Hop>& hops = mix.chains.emplace_back();
    core::Duration time = internal::kHandoffTime;
    for (const placement::Stage& stage : chain.stages) {
      const schema::Announcement& announcement =
          entries[stage.upstream]->announcement;
      hops.push_back({announcement.id, announcement.address, stage.layers});
      const MixStage& candidate = stages[stage.upstream];
      time += candidate.cost.TimePerLayer(usual, candidate.load) *
              static_cast<std::int64_t>(stage.layers.size());
    }
    times.push_back(time);
  }
  mix.rates = EndRates(mix.chains, times, usual.answer_tokens / engine.stride);
  return mix;
}

double Upstreams::Use(const schema::Service& service, core::Instant now) {
  if (!service.engine || service.engine->layers == 0) return 0;
  const Mix& mix = UpdateMix(service, now);
  return mix.chains.empty() ? 0 : UseOf(mix);
}

double Upstreams::UseOf(const Mix& mix) const {
  return TotalRequests() / std::max(1.0, mix.room);
}

void Upstreams::WeightByLocality(
    const std::vector<const std::vector<Hop>*>& chains, double use,
    std::vector<double>& rates) const {
  const double strength =
      std::clamp((internal::kSpreadUse - use) /
                     (internal::kSpreadUse - internal::kLocalUse),
                 0.0, 1.0);
  if (hosts_by_centre_.size() < 2 || strength <= 0) return;
  std::vector<core::DataCentreId> begins;
  CentreShares shares;
  for (std::size_t index = 0; index < chains.size(); ++index) {
    const Entry& first = entries_.at(chains[index]->front().upstream);
    begins.push_back(first.announcement.data_centre);
    shares[begins.back()] += rates[index];
  }
  const CentreShares factors =
      PreferLocal(own_centre_, hosts_by_centre_, shares, strength);
  for (std::size_t index = 0; index < chains.size(); ++index) {
    rates[index] *= factors.at(begins[index]);
  }
}

std::vector<double> Upstreams::EndRates(
    const std::vector<std::vector<Hop>>& chains,
    const std::vector<core::Duration>& estimates, double events) const {
  // Ratio of the measured time to the estimate; that of chains without a
  // measurement is the mean of the others.
  std::vector<std::optional<double>> corrections;
  double sum = 0;
  double known = 0;
  for (std::size_t index = 0; index < chains.size(); ++index) {
    const Entry& first = entries_.at(chains[index].front().upstream);
    const auto gap = first.latency.Mean();
    corrections.emplace_back();
    if (!gap) continue;
    corrections.back() = internal::Seconds(*gap).count() * events /
                         internal::Seconds(estimates[index]).count();
    sum += *corrections.back();
    ++known;
  }
  const double usual = known > 0 ? sum / known : 1;
  std::vector<double> rates;
  for (std::size_t index = 0; index < chains.size(); ++index) {
    rates.push_back(1 / (internal::Seconds(estimates[index]).count() *
                         corrections[index].value_or(usual)));
  }
  return rates;
}

bool Upstreams::ChainUsable(const std::vector<Hop>& hops,
                            const FirstHops& first, core::Instant now) const {
  if (!first.Allows(hops.front().upstream)) return false;
  return std::all_of(hops.begin(), hops.end(), [&](const Hop& hop) {
    const auto found = entries_.find(hop.upstream);
    return found != entries_.end() && Usable(found->second, now) &&
           WithinLimit(found->second, now) &&
           now >= found->second.deprioritized_until;
  });
}

double Upstreams::CostRatio(const schema::Engine& engine,
                            const std::vector<Hop>& hops, const Work& work,
                            core::Instant now) const {
  core::Duration cost{};
  core::Duration planned{};
  for (const Hop& hop : hops) {
    const Entry& entry = entries_.at(hop.upstream);
    const schema::Accelerator* accelerator =
        placement::FindAccelerator(engine, entry.announcement.accelerator);
    const placement::Range held = placement::HeldLayers(entry.announcement);
    if (accelerator == nullptr || held.empty()) continue;
    const StageCost stage(engine, *accelerator, held);
    const auto layers = static_cast<std::int64_t>(hop.layers.size());
    cost += stage.PerLayer(work, EstimateLoad(entry)) * layers;
    planned += stage.PerLayer(work, entry.mixed) * layers;
  }
  if (planned <= core::Duration::zero()) return 1;
  cost += entries_.at(hops.front().upstream).latency.Slowdown(now) *
          static_cast<std::int64_t>(1 + work.answer_tokens / engine.stride);
  return internal::Seconds(cost) / internal::Seconds(planned);
}

std::vector<Hop> Upstreams::ChooseFromMix(const schema::Service& service,
                                          const Work& work,
                                          const FirstHops& first,
                                          core::Instant now) {
  const Mix& mix = UpdateMix(service, now);
  std::vector<const std::vector<Hop>*> usable;
  std::vector<double> rates;
  for (std::size_t index = 0; index < mix.chains.size(); ++index) {
    if (!ChainUsable(mix.chains[index], first, now)) continue;
    usable.push_back(&mix.chains[index]);
    rates.push_back(mix.rates[index]);
  }
  if (usable.empty()) return {};
  WeightByLocality(usable, UseOf(mix), rates);
  std::discrete_distribution<std::size_t> draw(rates.begin(), rates.end());
  const std::vector<Hop>& chosen = *usable[draw(random_)];
  const std::vector<Hop>& other = *usable[draw(random_)];
  const schema::Engine& engine = *service.engine;
  // All hosts have the same mix. What tells two of its chains apart is by how
  // much this host's own requests and measurements exceed it.
  const bool better = CostRatio(engine, other, work, now) <
                      CostRatio(engine, chosen, work, now);
  return better ? other : chosen;
}

std::vector<Hop> Upstreams::ChooseCheapest(const schema::Service& service,
                                           const Work& work,
                                           const FirstHops& first,
                                           bool include_deprioritized,
                                           core::Instant now, NoPath& reason) {
  const schema::Engine& engine = *service.engine;
  std::vector<const Entry*> entries;
  std::vector<placement::Candidate> candidates;
  for (const auto& [id, entry] : entries_) {
    const auto stage =
        MakeStage(entry, service, work, include_deprioritized, now);
    if (!stage || !WithinLimit(entry, now)) continue;
    placement::Candidate candidate = stage->candidate;
    if (candidate.layers.first == 0 && !first.Allows(id)) continue;
    const StageLoad load = EstimateLoad(entry);
    if (!stage->cost.Fits(work, load)) continue;
    candidate.per_layer = stage->cost.PerLayer(work, load);
    candidate.upstream = entries.size();
    entries.push_back(&entry);
    candidates.push_back(std::move(candidate));
  }
  const placement::Chain chain = placement::CheapestChain(
      candidates, engine.layers, internal::MakeCrossing(engine, work).cost);
  std::vector<Hop> hops;
  const bool too_long =
      engine.max_stages > 0 && chain.stages.size() > engine.max_stages;
  for (const placement::Stage& stage : chain.stages) {
    if (too_long) break;
    const schema::Announcement& announcement =
        entries[stage.upstream]->announcement;
    hops.push_back({announcement.id, announcement.address, stage.layers});
  }
  if (hops.empty()) reason = ReasonWithoutChain(service);
  return hops;
}

NoPath Upstreams::ReasonWithoutChain(const schema::Service& service) const {
  std::vector<placement::Candidate> announced;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    placement::Candidate candidate;
    candidate.layers = placement::HeldLayers(entry.announcement);
    announced.push_back(std::move(candidate));
  }
  const std::uint32_t layers = service.engine->layers;
  if (placement::FirstMissingLayer(announced, layers) == layers) {
    return NoPath::kBusy;
  }
  return announced.empty() ? NoPath::kNoUpstream : NoPath::kNoLayers;
}

bool Upstreams::IsChain(const std::vector<Hop>& hops) {
  return !hops.empty() && !hops.front().layers.empty();
}

void Upstreams::Begin(const std::vector<Hop>& hops, const Work& work,
                      core::Instant now) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    limits_.Take(hop.upstream, found->second.announcement.born, now);
    ++found->second.in_flight;
    found->second.last_used = ++uses_;
    found->second.tokens += work.MeanTokens();
  }
  if (IsChain(hops)) ++own_requests_;
}

void Upstreams::End(const std::vector<Hop>& hops, const Work& work) {
  for (const Hop& hop : hops) {
    const auto found = entries_.find(hop.upstream);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (entry.in_flight > 0) --entry.in_flight;
    entry.tokens = std::max(0.0, entry.tokens - work.MeanTokens());
    if (!entry.present && entry.in_flight == 0 && !entry.left_at) {
      entries_.erase(found);
    }
  }
  if (IsChain(hops)) own_requests_ = std::max(0.0, own_requests_ - 1);
}

void Upstreams::RecordFailure(const core::UpstreamId& upstream,
                              core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const int doublings =
      std::min(entry.consecutive_failures, internal::kMaxDoublings);
  if (now >= entry.avoid_until) ++entry.consecutive_failures;
  ++changes_;
  entry.avoid_until = std::max(
      entry.avoid_until, now + internal::kInitialAvoidance * (1 << doublings));
  entry.failed_until = entry.avoid_until;
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
  ++changes_;
  entry.avoid_until =
      std::max(entry.avoid_until, now + internal::kRejectionAvoidance);
}

void Upstreams::RecordRefusal(const core::UpstreamId& upstream,
                              core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end()) return;
  core::Instant& until = found->second.deprioritized_until;
  ++changes_;
  until = std::max(until, now + internal::kRejectionAvoidance);
}

bool Upstreams::RecordLeaving(const core::UpstreamId& upstream,
                              core::Instant now) {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || found->second.left_at) return false;
  ++changes_;
  found->second.left_at = now;
  return true;
}

bool Upstreams::RecordHoldOff(const core::UpstreamId& upstream,
                              core::Instant until) {
  if (!hold_offs_.Record(upstream, until)) return false;
  ++changes_;
  return true;
}

bool Upstreams::AcceptsBy(const schema::Service& service, core::Instant now,
                          core::Instant time) const {
  const bool leave_expected = limits_.ExpectsLeave(service.id, now);
  std::vector<placement::Candidate> accepting;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service.id) continue;
    if (entry.left_at || hold_offs_.Active(id, time)) continue;
    if (!leave_expected && !WithinLimit(entry, now)) continue;
    placement::Candidate candidate;
    candidate.layers = placement::HeldLayers(entry.announcement);
    accepting.push_back(std::move(candidate));
  }
  if (accepting.empty()) return false;
  const std::uint32_t layers = service.engine ? service.engine->layers : 0;
  return layers == 0 ||
         placement::FirstMissingLayer(accepting, layers) == layers;
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
  ++changes_;
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

bool Upstreams::AllFailed(const core::ServiceId& service,
                          core::Instant now) const {
  std::size_t first_hops = 0;
  for (const auto& [id, entry] : entries_) {
    if (!entry.present || entry.announcement.service != service) continue;
    const placement::Range layers = placement::HeldLayers(entry.announcement);
    const bool chained = entry.announcement.kind == "model";
    if (chained && (layers.empty() || layers.first != 0)) continue;
    if (now >= entry.failed_until) return false;
    ++first_hops;
  }
  return first_hops > 0;
}

void Upstreams::ForgetFailures(const core::ServiceId& service) {
  ++changes_;
  for (auto& [id, entry] : entries_) {
    if (entry.announcement.service != service) continue;
    if (entry.avoid_until <= entry.failed_until) entry.avoid_until = {};
    entry.failed_until = {};
    entry.consecutive_failures = 0;
    entry.deprioritized_until = {};
  }
}

std::optional<core::ServiceId> Upstreams::FindService(
    const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || !found->second.present) return std::nullopt;
  return found->second.announcement.service;
}

std::optional<std::string> Upstreams::FindAddress(
    const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  if (found == entries_.end() || !found->second.present) return std::nullopt;
  return found->second.announcement.address;
}

std::size_t Upstreams::Count(const core::ServiceId& service) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return item.second.present &&
               item.second.announcement.service == service;
      }));
}

bool Upstreams::Known(const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found != entries_.end() && found->second.present;
}

bool Upstreams::Leaves(const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found == entries_.end() || !found->second.present ||
         found->second.left_at;
}

core::WallTime Upstreams::Born(const core::UpstreamId& upstream) const {
  const auto found = entries_.find(upstream);
  return found == entries_.end() ? core::WallTime()
                                 : found->second.announcement.born;
}

std::optional<core::UpstreamId> Upstreams::FindByAddress(
    const std::string& address) const {
  for (const auto& [id, entry] : entries_) {
    if (entry.present && entry.announcement.address == address) return id;
  }
  return std::nullopt;
}

}  // namespace foxquay::relay
