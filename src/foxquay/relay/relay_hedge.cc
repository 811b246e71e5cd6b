// Second sends of slow requests that may be repeated (docs/design/hedging.md).
#include <algorithm>
#include <utility>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {

bool Relay::MayHedge(const State& state) {
  const RequestContext& context = state.context;
  return context.route->kind == schema::RequestKind::kRepeatable &&
         !context.service->engine && !context.relayed;
}

bool Relay::AwaitsAnswer(const State& state) {
  return !state.held && !state.partner && !state.hops.empty() &&
         !state.answer_begun;
}

void Relay::CloseHedging(core::RequestId id) {
  requests_.at(id).hedging.closed = true;
}

std::vector<std::pair<core::RequestId, HedgeDecision>> Relay::DueHedges(
    core::Instant now) {
  std::vector<std::pair<core::RequestId, HedgeDecision>> due;
  if (!hedge_policy_.enabled()) return due;
  std::map<core::ServiceId, std::size_t> open;
  std::set<core::ServiceId> waiting;
  for (const auto& [id, state] : requests_) {
    const core::ServiceId& service = state.context.service->id;
    if (state.held) waiting.insert(service);
    if (!state.hops.empty()) ++open[service];
  }
  hedge_policy_.RecordOpen(open, now);
  if (outdated_) return due;
  HedgeDelays delays;
  for (auto& [id, state] : requests_) {
    const bool possible = MayHedge(state) && AwaitsAnswer(state) &&
                          !state.hedging.used && !state.hedging.closed &&
                          !state.probe && !state.context.outdated;
    if (!possible) continue;
    auto decision = DecideHedge(
        state, waiting.contains(state.context.service->id), delays, now);
    if (!decision) continue;
    const bool denied = std::holds_alternative<HedgeDenial>(*decision);
    if (denied && std::exchange(state.hedging.denied, true)) continue;
    due.emplace_back(id, *std::move(decision));
  }
  return due;
}

std::optional<HedgeDecision> Relay::DecideHedge(State& state, bool waiting,
                                                HedgeDelays& delays,
                                                core::Instant now) {
  const RequestContext& context = state.context;
  const core::ServiceId& service = context.service->id;
  const core::UpstreamId& first = state.hops.front().upstream;
  const core::Duration waited = now - state.hedging.sent;
  // Computed once in a review: many requests wait when all are slow.
  const auto [found, added] = delays.try_emplace({context.route, first});
  if (added) {
    found->second =
        hedge_policy_.Delay(service, first, context.route->target_latency, now);
  }
  const std::optional<core::Duration>& delay = found->second;
  if (waited < delay.value_or(context.route->target_latency)) {
    return std::nullopt;
  }
  if (!delay) return HedgeDenial::kAnswers;
  if (context.deadline - now < *delay) return HedgeDenial::kDeadline;
  if (state.sends + 2 > context.route->max_attempts) {
    return HedgeDenial::kAttempts;
  }
  const bool near_room =
      waiting || reachability_.CutOff(service) ||
      hedge_policy_.NearRoom(service, upstreams_.Room(service, now), hosts_);
  if (near_room) return HedgeDenial::kRoom;
  FirstHops others{state.attempted, {}};
  others.avoid.push_back(first);
  std::vector<Hop> hops = upstreams_.ChooseSpare(service, others, waited, now);
  if (hops.empty()) return HedgeDenial::kUpstream;
  if (!hedge_policy_.HasCredit(service)) return HedgeDenial::kLimit;
  if (!budget_.TakeSpareRetry(service, now)) return HedgeDenial::kBudget;
  hedge_policy_.Spend(service);
  upstreams_.Begin(hops, context.work, now);
  state.hedging.used = true;
  state.hedging.hedge = Hedge{std::move(hops), now};
  return Send{state.hedging.hedge->hops, state.sends + state.unsent + 2, true};
}

const std::vector<Hop>& Relay::HedgePath(core::RequestId id) const {
  return requests_.at(id).hedging.hedge->hops;
}

void Relay::WinHedge(core::RequestId id, core::Instant now) {
  State& state = requests_.at(id);
  const core::UpstreamId& first = state.hops.front().upstream;
  const core::Duration taken = now - state.hedging.sent;
  upstreams_.RecordMinLatency(first, taken, now);
  hedge_policy_.RecordAnswer(state.context.service->id, first, taken, now);
  upstreams_.End(state.hops, state.context.work);
  state.may_have_run = true;
  ++state.sends;
  KeepHedge(state);
}

void Relay::DropHedge(core::RequestId id, core::Instant now) {
  State& state = requests_.at(id);
  const Hedge hedge = *std::exchange(state.hedging.hedge, std::nullopt);
  upstreams_.RecordMinLatency(hedge.hops.front().upstream, now - hedge.sent,
                              now);
  upstreams_.End(hedge.hops, state.context.work);
}

std::optional<Suspicion> Relay::LoseCopy(core::RequestId id, Copy lost,
                                         const Loss& loss, core::Instant now) {
  State& state = requests_.at(id);
  if (lost == Copy::kHedge) std::swap(state.hops, state.hedging.hedge->hops);
  auto suspicion = SuspectCrash(id, loss);
  upstreams_.End(state.hops, state.context.work);
  RecordLoss(state, state.hops, loss, now);
  if (lost == Copy::kHedge) {
    state.hops = std::exchange(state.hedging.hedge, std::nullopt)->hops;
  } else {
    KeepHedge(state);
  }
  return suspicion;
}

void Relay::KeepHedge(State& state) {
  const Hedge hedge = *std::exchange(state.hedging.hedge, std::nullopt);
  state.hops = hedge.hops;
  state.hedging.sent = hedge.sent;
  state.hedging.kept_hedge = true;
}

}  // namespace foxquay::relay
