#include "foxquay/relay/relay.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace foxquay::relay {
namespace internal {

/// Sends of one request that reach no upstream before it is given up.
constexpr unsigned kMaxUnsent = 3;

/// Maximum number of sends of one stream that reach an upstream before its
/// answer begins, and of those that move it while it stalls. Returning to an
/// upstream that the stream has already reached uses no attempt of its route.
constexpr unsigned kMaxStreamSends = 5;

/// Retry-After when all upstreams are busy: about the length of a stream.
/// Callers retry only once or twice, so after a shorter time they would meet
/// the same overload.
constexpr core::Duration kBusyRetryAfter = std::chrono::milliseconds(2000);

/// Time for which a request waits for the answer of the control host whether it
/// may use limited upstreams: a round trip and the work of a small host.
constexpr core::Duration kLeaveWait = std::chrono::milliseconds(40);

/// Longest Retry-After; callers wait for no longer than a third of the time
/// that they have left.
constexpr core::Duration kMaxRetryAfter = std::chrono::milliseconds(10000);

/// Retry-After while layers or upstreams are missing: the time to detect a loss
/// and load the layers elsewhere.
constexpr core::Duration kUnavailableRetryAfter =
    std::chrono::milliseconds(2500);

/// Retry-After when a send failed or the deadline passed: the time in which the
/// list of upstreams is updated.
constexpr core::Duration kFailedSendRetryAfter =
    std::chrono::milliseconds(1000);

}  // namespace internal

const char* Name(LossKind kind) noexcept {
  switch (kind) {
    case LossKind::kNotSent:
      return "not-sent";
    case LossKind::kNotRun:
      return "not-run";
    case LossKind::kUnanswered:
      return "unanswered";
    case LossKind::kCut:
      return "cut";
    case LossKind::kStalled:
      return "stalled";
    case LossKind::kError:
      return "error";
  }
  return "";
}

Relay::Relay(const BudgetOptions& budget, std::uint64_t seed)
    : upstreams_(seed),
      reachability_(seed),
      partners_(seed),
      budget_(budget),
      overload_(seed),
      random_(seed) {}

void Relay::SetHosts(std::size_t hosts, core::Instant now) {
  hosts_ = std::max<std::size_t>(hosts, 1);
  upstreams_.SetHosts(hosts_);
  budget_.SetHosts(hosts, now);
}

core::Duration Relay::AddJitter(core::Duration duration) {
  std::uniform_real_distribution<double> factor(0.75, 1.25);
  return core::Scale(duration, factor(random_));
}

Decision Relay::Arrive(core::RequestId id, RequestContext context,
                       core::Instant now) {
  State& state = requests_[id];
  state.context = std::move(context);
  state.sends = state.context.prior_sends;
  state.may_have_run = state.sends > 0;
  // The host that the caller sent it to has counted it.
  if (!state.context.relayed) {
    budget_.CountRequest(state.context.service->id, now);
  }
  upstreams_.limits().CountRequest(state.context.service->id, now);
  if (auto refusal = RefuseOverload(id, state, now)) return *refusal;
  if (MayHedge(state)) hedge_policy_.CountRequest(state.context.service->id);
  return Route(id, state, now);
}

std::optional<Decision> Relay::RefuseOverload(core::RequestId id, State& state,
                                              core::Instant now) {
  const RequestContext& context = state.context;
  // What a caller or another host continues has used the upstreams already.
  if (context.resume_after || state.may_have_run) return std::nullopt;
  const double use = upstreams_.Use(*context.service, now);
  if (use <= 0) return std::nullopt;
  const core::ServiceId& service = context.service->id;
  if (overload_.Admit(service, context.priority, use, now)) return std::nullopt;
  return GiveUp(id, "the upstreams hold as many requests as they can",
                overload_.ReturnTime(service, now), now);
}

Decision Relay::Route(core::RequestId id, State& state, core::Instant now) {
  const RequestContext& context = state.context;
  if (auto refusal = RefuseQuarantined(id, state, now)) return *refusal;
  if (Resumes(state) && now < state.next_send) {
    return HoldOrGiveUp(id, state, "pause after sends without an event", now);
  }
  if (state.awaits_budget && !budget_.TakeRetry(context.service->id, now)) {
    return HoldOrGiveUp(id, state, "budget of repeated sends is spent", now);
  }
  state.awaits_budget = false;
  if (auto decision = AvoidOutdated(id, state, now)) return *decision;
  if (LacksPath(state, now)) {
    if (const auto send = PassToPartner(state, now)) return *send;
    if (reachability_.CutOff(context.service->id) && !state.answer_begun) {
      return GiveUp(id, "no upstream can be reached",
                    internal::kUnavailableRetryAfter, now);
    }
  }
  if (AwaitsLeave(state, now)) {
    if (!state.held) BeginHold(state, now);
    return Hold{"no leave to use limited upstreams"};
  }
  NoPath reason = NoPath::kNoUpstream;
  std::vector<Hop> hops = upstreams_.ChoosePath(
      *context.service, context.work, AllowedFirstHops(state), now, reason);
  if (!hops.empty()) {
    if (state.held) --held_;
    state.held = false;
    state.hops = std::move(hops);
    upstreams_.Begin(state.hops, context.work, now);
    state.hedging.sent = now;
    state.hedging.closed = false;
    state.hedging.kept_hedge = false;
    const bool reuse = Repeatable(*context.route);
    return Send{state.hops, state.sends + state.unsent + 1, reuse};
  }
  if (reason != NoPath::kBusy && !state.held && !state.answer_begun) {
    return GiveUp(id,
                  reason == NoPath::kNoLayers
                      ? "layers of the model are missing"
                      : "no upstream of the service",
                  internal::kUnavailableRetryAfter, now);
  }
  return HoldOrGiveUp(id, state, "no upstream has a place", now);
}

Decision Relay::HoldOrGiveUp(core::RequestId id, State& state,
                             const std::string& reason, core::Instant now) {
  const RequestContext& context = state.context;
  const bool resumes = Resumes(state);
  if (!state.held) {
    if (held_ >= kMaxHeld && !resumes) {
      return GiveUp(id, "too many requests wait", internal::kBusyRetryAfter,
                    now);
    }
    BeginHold(state, now);
  }
  // A request that was held for a leave has not been checked yet. A stream that
  // has begun cannot come back, so it waits for what may change until its
  // deadline.
  if (!std::exchange(state.acceptance_checked, true) && !resumes &&
      !upstreams_.AcceptsBy(*context.service, now, state.hold_deadline)) {
    return GiveUp(id, "the upstreams ask for no requests",
                  ReturnTime(context.service->id, now), now);
  }
  if (now < state.hold_deadline) return Hold{reason};
  return GiveUp(id, reason, ReturnTime(context.service->id, now), now);
}

void Relay::BeginHold(State& state, core::Instant now) {
  const RequestContext& context = state.context;
  state.held = true;
  state.acceptance_checked = false;
  ++held_;
  state.hold_deadline =
      now + std::min(context.route->target_latency / 2,
                     std::chrono::duration_cast<core::Duration>(
                         context.deadline - now) /
                         4);
  if (Resumes(state)) state.hold_deadline = context.deadline;
}

bool Relay::AwaitsLeave(State& state, core::Instant now) {
  const RateLimits& limits = upstreams_.limits();
  const core::ServiceId& service = state.context.service->id;
  const bool useful =
      limits.AnyLimited(service) && !limits.HoldsLeave(service, now);
  if (!useful) return false;
  if (!state.leave_asked_at) {
    if (!state.held && held_ >= kMaxHeld) return false;
    state.leave_asked_at = now;
    leave_wanted_ = true;
  }
  return now - *state.leave_asked_at < internal::kLeaveWait &&
         limits.answered_at() <= *state.leave_asked_at;
}

core::Duration Relay::ReturnTime(const core::ServiceId& service,
                                 core::Instant now) const {
  const auto interval = upstreams_.limits().LeaveInterval(service, now);
  if (!interval) return internal::kBusyRetryAfter;
  return std::clamp(*interval * static_cast<std::int64_t>(held_ + 1),
                    internal::kBusyRetryAfter, internal::kMaxRetryAfter);
}

FirstHops Relay::AllowedFirstHops(const State& state) const {
  FirstHops first;
  if (state.failed) first.avoid.push_back(*state.failed);
  if (state.attempted.size() >=
      std::max(1U, state.context.route->max_attempts)) {
    first.only = state.attempted;
    const bool none = std::none_of(
        first.only.begin(), first.only.end(),
        [&first](const auto& upstream) { return first.Allows(upstream); });
    if (none) first.avoid.clear();
  }
  return first;
}

bool Relay::MayRetry(const State& state, const Loss& loss,
                     core::Instant now) const {
  const schema::Route& route = *state.context.route;
  const LossKind kind = loss.kind;
  if (loss.crashed && MayCrashOthers(state, now)) return false;
  if (Resumes(state)) return true;
  if (kind == LossKind::kNotSent) return state.unsent < internal::kMaxUnsent;
  const unsigned max_sends = route.kind == schema::RequestKind::kStream
                                 ? internal::kMaxStreamSends
                                 : std::max(1U, route.max_attempts);
  if (state.sends >= max_sends) return false;
  return kind == LossKind::kNotRun || Repeatable(route);
}

std::optional<Send> Relay::Move(core::RequestId id, core::Instant now) {
  State& state = requests_.at(id);
  if (state.partner || outdated_) return std::nullopt;
  const RequestContext& context = state.context;
  const bool movable = Repeatable(*context.route) && !state.hops.empty() &&
                       state.sends + 1 < internal::kMaxStreamSends &&
                       budget_.CanRetry(context.service->id, now);
  if (!movable) return std::nullopt;
  const std::vector<Hop> former = state.hops;
  State moved = state;
  RecordAttempt(moved, LossKind::kStalled, former.front().upstream,
                std::nullopt);
  // If one of the upstreams was found to be lost, the others are sound.
  const bool culprit_known = std::any_of(
      former.begin(), former.end(),
      [this](const Hop& hop) { return !upstreams_.Known(hop.upstream); });
  if (!culprit_known) upstreams_.RecordPathFailure(former, now);
  NoPath reason = NoPath::kNoUpstream;
  std::vector<Hop> hops = upstreams_.ChoosePath(
      *context.service, context.work, AllowedFirstHops(moved), now, reason);
  const bool same = hops.empty() || hops == former;
  if (same || !budget_.TakeRetry(context.service->id, now)) return std::nullopt;
  Release(state);
  state.attempted = std::move(moved.attempted);
  state.failed = std::move(moved.failed);
  state.may_have_run = true;
  ++state.sends;
  state.hops = std::move(hops);
  upstreams_.Begin(state.hops, context.work, now);
  return Send{state.hops, state.sends + state.unsent + 1, true};
}

void Relay::RecordAttempt(State& state, LossKind kind,
                          const core::UpstreamId& first,
                          const std::optional<core::UpstreamId>& fault) {
  std::vector<core::UpstreamId>& attempted = state.attempted;
  const bool known =
      std::find(attempted.begin(), attempted.end(), first) != attempted.end();
  // An upstream that has not run the request uses no attempt of the route.
  if (!known && kind != LossKind::kNotRun) attempted.push_back(first);
  const bool elsewhere = kind == LossKind::kNotRun && fault && *fault != first;
  state.failed.reset();
  if (!elsewhere) state.failed = first;
}

Decision Relay::HandleLoss(core::RequestId id, const Loss& loss,
                           core::Instant now) {
  State& state = requests_.at(id);
  if (state.partner) return HandlePartnerLoss(id, loss, now);
  const std::vector<Hop> hops = state.hops;
  Release(state);
  if (hops.empty()) return Hold{};
  RecordLoss(state, hops, loss, now);
  if (Resumes(state)) DelayResume(state, now);
  if (!MayRetry(state, loss, now)) {
    if (loss.kind == LossKind::kNotSent) {
      if (const auto send = PassToPartner(state, now)) return *send;
    }
    return GiveUp(id, std::string("send ended: ") + Name(loss.kind),
                  internal::kFailedSendRetryAfter, now);
  }
  state.awaits_budget = loss.kind != LossKind::kNotSent;
  return Route(id, state, now);
}

void Relay::RecordLoss(State& state, const std::vector<Hop>& hops,
                       const Loss& loss, core::Instant now) {
  const auto fault = loss.fault_address.empty()
                         ? std::nullopt
                         : upstreams_.FindByAddress(loss.fault_address);
  if (loss.kind == LossKind::kNotSent) {
    ++state.unsent;
    upstreams_.RecordFailure(hops.front().upstream, now);
    RecordInquiry(hops.front().upstream, false, now);
  } else {
    ++state.sends;
    RecordAttempt(state, loss.kind, hops.front().upstream, fault);
    if (loss.kind != LossKind::kNotRun) state.may_have_run = true;
    AttributeLoss(loss.kind, fault, hops, now);
  }
}

void Relay::AttributeLoss(LossKind kind,
                          const std::optional<core::UpstreamId>& fault,
                          const std::vector<Hop>& hops, core::Instant now) {
  if (fault && kind == LossKind::kNotRun) {
    upstreams_.RecordRejection(*fault, now);
    return;
  }
  if (fault) {
    upstreams_.RecordFailure(*fault, now);
    return;
  }
  switch (kind) {
    case LossKind::kStalled:
      upstreams_.RecordPathFailure(hops, now);
      return;
    case LossKind::kUnanswered:
    case LossKind::kCut:
      // A connection that ends early is the one to the first hop. The loss of a
      // later hop shows as a stall.
      upstreams_.RecordPossibleFailure(hops.front().upstream, now);
      return;
    case LossKind::kNotRun:
      // Only the first hop answers without naming an upstream.
      upstreams_.RecordRefusal(hops.front().upstream, now);
      return;
    case LossKind::kNotSent:
    case LossKind::kError:
      return;
  }
}

Decision Relay::GiveUp(core::RequestId id, const std::string& reason,
                       std::optional<core::Duration> retry_after,
                       core::Instant) {
  const State& state = requests_.at(id);
  Decision decision;
  if (state.answer_begun) {
    decision = Abort{reason};
  } else if (state.may_have_run) {
    decision = Refuse{502, std::nullopt, reason};
  } else {
    if (retry_after) retry_after = AddJitter(*retry_after);
    decision = Refuse{503, retry_after, reason};
  }
  End(id);
  return decision;
}

void Relay::BeginAnswer(core::RequestId id, core::Instant now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  State& state = found->second;
  state.answer_begun = true;
  state.fruitless = 0;
  recorder_.RecordBegin(state.context.service->id, state.context.parts, now);
}

bool Relay::RecordWish(const core::UpstreamId& upstream, bool leaving,
                       std::optional<core::Duration> hold_off,
                       core::Instant now) {
  const bool leaves = leaving && upstreams_.RecordLeaving(upstream, now);
  const bool pauses =
      hold_off && upstreams_.RecordHoldOff(upstream, now + *hold_off);
  return leaves || pauses;
}

schema::LimitReport Relay::ReportLimits(core::Instant now) {
  std::map<core::ServiceId, std::size_t> held;
  if (held_ > 0 && !upstreams_.limits().table().empty()) {
    for (const auto& [id, state] : requests_) {
      if (state.held) ++held[state.context.service->id];
    }
  }
  return upstreams_.limits().Report(held, now);
}

void Relay::RecordLatency(core::RequestId id, core::Duration time,
                          core::Instant now) {
  const State& state = requests_.at(id);
  if (state.hops.empty()) return;
  const core::UpstreamId& first = state.hops.front().upstream;
  upstreams_.RecordLatency(first, time, now);
  // Of second sends only the answers that come first are seen.
  if (MayHedge(state) && !state.partner && !state.hedging.kept_hedge) {
    hedge_policy_.RecordAnswer(state.context.service->id, first, time, now);
  }
}

void Relay::Complete(core::RequestId id, core::Instant now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const RequestContext& context = found->second.context;
  recorder_.RecordAnswer(context.service->id, context.parts, now);
  upstreams_.RecordSuccess(found->second.hops);
  End(id);
}

void Relay::Abandon(core::RequestId id) {
  if (requests_.contains(id)) End(id);
}

void Relay::Release(State& state) {
  if (state.partner) partners_.End(*state.partner);
  state.partner.reset();
  upstreams_.End(state.hops, state.context.work);
  state.hops.clear();
  if (state.hedging.hedge) {
    upstreams_.End(state.hedging.hedge->hops, state.context.work);
  }
  state.hedging.hedge.reset();
}

void Relay::End(core::RequestId id) {
  State& state = requests_.at(id);
  Release(state);
  if (state.held) --held_;
  requests_.erase(id);
}

std::vector<std::pair<core::RequestId, Decision>> Relay::Review(
    core::Instant now) {
  std::vector<std::pair<core::RequestId, Decision>> decisions;
  std::vector<std::tuple<bool, std::uint32_t, core::Instant, core::RequestId>>
      order;
  std::vector<core::RequestId> expired;
  for (auto& [id, state] : requests_) {
    if (now >= state.context.deadline) {
      expired.push_back(id);
    } else if (state.held) {
      // Streams that have begun go first: they cannot come back.
      order.emplace_back(!Resumes(state), state.context.priority,
                         state.context.arrived, id);
    }
  }
  for (const core::RequestId id : expired) {
    State& state = requests_.at(id);
    const bool sent = !state.hops.empty();
    if (sent) state.may_have_run = true;
    Decision decision =
        GiveUp(id, "deadline passed", internal::kFailedSendRetryAfter, now);
    if (auto* refuse = std::get_if<Refuse>(&decision);
        refuse != nullptr && refuse->status == 502) {
      refuse->status = 504;
    }
    decisions.emplace_back(id, std::move(decision));
  }
  if (std::exchange(quarantines_changed_, false)) {
    RefuseSent(decisions, now);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [first_send, priority, arrived, id] : order) {
    Decision decision = Route(id, requests_.at(id), now);
    if (std::holds_alternative<Hold>(decision)) continue;
    decisions.emplace_back(id, std::move(decision));
  }
  return decisions;
}

const std::vector<Hop>& Relay::Path(core::RequestId id) const {
  return requests_.at(id).hops;
}

const RequestContext& Relay::Context(core::RequestId id) const {
  return requests_.at(id).context;
}

}  // namespace foxquay::relay
