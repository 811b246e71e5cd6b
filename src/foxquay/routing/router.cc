#include "foxquay/routing/router.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace foxquay::routing {
namespace internal {

/// Longest predicted time between tokens of a chain chosen for its caches,
/// relative to the best chain.
constexpr double kMaxAffinityTimeRatio = 1.25;

/// Groups cached per model. With more combinations of adapter and version the
/// cache is cleared and the groups are rebuilt.
constexpr std::size_t kMaxGroups = 64;
/// Upstreams renew their announcement every 600 ms, so a new one is known after
/// this time.
constexpr core::Duration kMissingRetry = std::chrono::seconds(1);
/// Retry time while upstreams are at their in-flight limit.
constexpr core::Duration kBusyRetry = std::chrono::milliseconds(500);

bool Contains(const std::vector<core::UpstreamId>& ids,
              const core::UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace internal

Router::Router(RouterOptions options)
    : options_(std::move(options)),
      prefix_index_(options_.max_prefixes),
      random_(options_.seed) {}

void Router::Replace(const std::vector<schema::Announcement>& announced) {
  for (const core::ModelId& model : upstreams_.Replace(announced)) {
    models_.erase(model);
  }
}

const std::vector<Group>& Router::Groups(const Query& query) {
  ModelGroups& model = models_[query.model];
  const auto key = std::make_pair(query.adapter, query.version);
  const auto found = model.groups.find(key);
  if (found != model.groups.end()) return found->second;
  if (model.groups.size() >= internal::kMaxGroups) model.groups.clear();
  return model.groups[key] =
             BuildGroups(upstreams_, query.model, query.adapter, query.version,
                         options_.data_centre, options_.links);
}

bool Router::Allowed(UpstreamIndex index,
                     const std::vector<core::UpstreamId>& excluded,
                     core::Instant now) const {
  const Upstream& upstream = upstreams_[index];
  return upstream.Usable(now) &&
         !internal::Contains(excluded, upstream.announced.id);
}

std::variant<Plan, NoPlan> Router::Find(const Query& query, core::Instant now) {
  const std::vector<Group>& groups = Groups(query);
  std::optional<Plan> best;
  for (const Group& group : groups) {
    std::optional<Plan> plan = FindInGroup(group, query, now);
    if (plan && (!best || plan->token_time < best->token_time)) {
      best = std::move(plan);
    }
  }
  if (best) return *std::move(best);
  return ExplainNoPlan(groups, query, now);
}

std::optional<Plan> Router::FindInGroup(const Group& group, const Query& query,
                                        core::Instant now) {
  std::optional<std::vector<Step>> best;
  Prediction best_time;
  // SelectMember already compares two members. With a single class, two rounds
  // would compare four members, and hosts would tend to choose the same one.
  const int rounds = group.classes.size() > 1 ? 2 : 1;
  for (int round = 0; round < rounds; ++round) {
    picks_.clear();
    for (const StageClass& stage_class : group.classes) {
      picks_.push_back(SelectMember(stage_class.members, query.excluded, now));
    }
    std::optional<std::vector<Step>> steps = planner_.Cheapest(group, picks_);
    if (!steps) return std::nullopt;
    const Prediction time = Predict(group, *steps, now);
    if (!best || time.token_seconds < best_time.token_seconds) {
      best = std::move(steps);
      best_time = time;
    }
  }
  if (PickPrefixHolders(group, query, now)) {
    const auto steps = planner_.Cheapest(group, picks_);
    const Prediction time = Predict(group, *steps, now);
    if (WithinLoadBound(*steps, *best) &&
        time.token_seconds <=
            best_time.token_seconds * internal::kMaxAffinityTimeRatio) {
      return MakePlan(group, *steps, time);
    }
  }
  return MakePlan(group, *best, best_time);
}

Router::Prediction Router::Predict(const Group& group,
                                   const std::vector<Step>& steps,
                                   core::Instant now) const {
  const auto& data_centres = group.data_centres;
  double sum = 0;
  double links = 0;
  double slowest = 0;
  std::size_t current = 0;
  for (const Step& step : steps) {
    const Upstream& upstream = upstreams_[step.upstream];
    const auto next = static_cast<std::size_t>(
        std::find(data_centres.begin(), data_centres.end(),
                  upstream.announced.data_centre) -
        data_centres.begin());
    const double ignored_penalty =
        step.penalty_ignored ? upstream.failure_record.PenaltyFactor(now) : 1;
    const double seconds = upstream.LayerSeconds(now) / ignored_penalty *
                           (step.layers.last - step.layers.first + 1);
    links += group.links[current * data_centres.size() + next];
    sum += seconds;
    slowest = std::max(slowest, seconds * upstream.StreamsPerSlot());
    current = next;
  }
  links += group.links[current * data_centres.size()];
  // In an idle chain a token takes the sum of the stage and network times. In a
  // loaded one the stages form a pipeline, and a token waits until the slowest
  // stage has served all its streams.
  return {std::max(sum + links, slowest), links};
}

Plan Router::MakePlan(const Group& group, const std::vector<Step>& steps,
                      const Prediction& time) const {
  Plan plan;
  plan.version = group.version;
  const auto to_duration = [](double seconds) {
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(seconds));
  };
  plan.token_time = to_duration(time.token_seconds);
  plan.link_time = to_duration(time.link_seconds);
  for (const Step& step : steps) {
    const schema::Announcement& announced = upstreams_[step.upstream].announced;
    plan.chain.push_back({announced.id, announced.address, step.layers});
  }
  JoinRepeated(plan.chain);
  return plan;
}

NoPlan Router::ExplainNoPlan(const std::vector<Group>& groups,
                             const Query& query, core::Instant now) const {
  // Relaxes the conditions on upstreams one by one: the first set of upstreams
  // that covers the model shows which condition ruled out the rest.
  const auto uncovered = [&](const Group& group, auto&& accepts) {
    std::vector<bool> usable;
    for (const StageClass& c : group.classes) {
      usable.push_back(
          std::any_of(c.members.begin(), c.members.end(), [&](UpstreamIndex i) {
            const Upstream& u = upstreams_[i];
            return u.Open() &&
                   !internal::Contains(query.excluded, u.announced.id) &&
                   accepts(u);
          }));
    }
    return UncoveredLayers(group, usable);
  };
  NoPlan none;
  none.retry_after = internal::kMissingRetry;
  for (const Group& group : groups) {
    const auto not_in_backoff = [&](const Upstream& u) {
      return !u.failure_record.InBackoff(now);
    };
    if (uncovered(group, not_in_backoff).empty()) {
      return {NoPlan::Reason::kBusy, {}, internal::kBusyRetry};
    }
    const auto missing = uncovered(group, [](const Upstream&) { return true; });
    if (missing.empty()) {
      core::Duration wait = internal::kMissingRetry;
      for (const StageClass& c : group.classes) {
        for (const UpstreamIndex i : c.members) {
          const Upstream& u = upstreams_[i];
          if (!u.failure_record.InBackoff(now)) continue;
          wait = std::max(wait, u.failure_record.BackoffEnd() - now);
        }
      }
      none = {NoPlan::Reason::kInBackoff, uncovered(group, not_in_backoff),
              wait};
    } else if (none.reason == NoPlan::Reason::kMissing &&
               none.missing.empty()) {
      none.missing = missing;
    }
  }
  return none;
}

std::variant<ServicePlan, NoPlan> Router::FindService(
    const core::ServiceId& service,
    const std::vector<core::UpstreamId>& excluded, core::Instant now) {
  const std::vector<UpstreamIndex>& members = upstreams_.Members(service);
  const Pick pick = SelectMember(members, excluded, now);
  if (pick.Valid()) {
    const schema::Announcement& announced = upstreams_[pick.upstream].announced;
    return ServicePlan{announced.id, announced.address};
  }
  NoPlan none{NoPlan::Reason::kMissing, {}, internal::kMissingRetry};
  for (const UpstreamIndex index : members) {
    const Upstream& upstream = upstreams_[index];
    if (!upstream.Open() ||
        internal::Contains(excluded, upstream.announced.id)) {
      continue;
    }
    if (!upstream.failure_record.InBackoff(now)) {
      return NoPlan{NoPlan::Reason::kBusy, {}, internal::kBusyRetry};
    }
    const core::Duration wait = upstream.failure_record.BackoffEnd() - now;
    none.retry_after = none.reason == NoPlan::Reason::kInBackoff
                           ? std::min(none.retry_after, wait)
                           : wait;
    none.reason = NoPlan::Reason::kInBackoff;
  }
  return none;
}

void Router::BeginWork(const core::UpstreamId& id) noexcept {
  Upstream* upstream = upstreams_.Find(id);
  if (upstream == nullptr) return;
  ++upstream->in_flight;
  upstream->last_start_number = ++start_count_;
}

void Router::EndWork(const core::UpstreamId& id) noexcept {
  Upstream* upstream = upstreams_.Find(id);
  if (upstream != nullptr && upstream->in_flight > 0) --upstream->in_flight;
}

std::string FormatLayerRanges(const std::vector<schema::LayerRange>& ranges) {
  std::string text;
  for (const schema::LayerRange& range : ranges) {
    if (!text.empty()) text += ", ";
    text += std::to_string(range.first) + "-" + std::to_string(range.last);
  }
  return text;
}

}  // namespace foxquay::routing
