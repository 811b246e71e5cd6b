#include "foxquay/dispatch/queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxquay::dispatch {
namespace internal {

/// Number of pools from which on idle ones are dropped. Several times the 37
/// models and as many services that the system is designed for.
constexpr std::size_t kMaxPools = 256;

std::string Reason(scheduling::RefusalReason reason) {
  switch (reason) {
    case scheduling::RefusalReason::kQueueFull:
      return "queue is full";
    case scheduling::RefusalReason::kDeadline:
      return "queue wait leaves too little time before the deadline";
    case scheduling::RefusalReason::kServiceTime:
      return "estimated service time exceeds the time before the deadline";
  }
  return "invalid refusal reason";
}

}  // namespace internal

Queue::Queue(std::uint64_t seed) : admission_(seed) { Configure(Policy(), ""); }

void Queue::Configure(const Policy& policy, const std::string& host) {
  policy_ = policy;
  host_ = host;
  PolicyScope scope;
  scope.host = host;
  max_requests_ = static_cast<std::size_t>(
      policy.Get(schema::PolicyKey::kQueueMaxRequests, scope));
}

std::optional<Refusal> Queue::Admit(const QueueEntry& entry,
                                    core::Instant now) {
  scheduling::QueueState state = StateOf(entry.pool);
  const scheduling::Commitment added = CommitmentFor(entry);
  const auto pool = pools_.find(entry.pool);
  if (pool != pools_.end()) {
    const scheduling::Commitments& commitments = pool->second.commitments;
    const auto concurrency = static_cast<double>(state.running);
    state.wait = commitments.Wait(added, concurrency);
    state.fits = commitments.Fits(added, now, concurrency);
  }
  const auto refusal =
      admission_.Check({entry.deadline - now, added.remaining_service,
                        entry.deadline - added.latest_start},
                       state);
  if (refusal) {
    return Refusal{internal::Reason(refusal->reason), refusal->retry_after};
  }
  budgets_.CountRequest(entry.workspace, RetryPercent(entry.workspace));
  return std::nullopt;
}

void Queue::Push(const QueueEntry& entry, core::Instant now) {
  if (pools_.size() >= internal::kMaxPools) {
    std::erase_if(pools_, [](const auto& item) {
      return item.second.commitments.size() == 0 &&
             item.second.queue.running() == 0;
    });
  }
  const scheduling::Ticket ticket{
      entry.request, entry.workspace, entry.traffic_class,
      estimator_.EstimateLeg(entry.pool, entry.traffic_class, ShapeOf(entry)),
      entry.deadline};
  Pool& pool = pools_[entry.pool];
  pool.queue.Push(ticket, WeightsOf(entry),
                  entry.resumed ? scheduling::QueueEnd::kFront
                                : scheduling::QueueEnd::kBack);
  pool.commitments.Set(entry.request, CommitmentFor(entry));
  admitted_.insert_or_assign(entry.request, entry);
  UpdateBacklog(pool, entry, now);
  ++pool.waiting_by_key[entry.serving_key];
  waiting_.emplace(entry.request, entry);
}

void Queue::Remove(core::RequestId request, core::Instant now) {
  const auto node = admitted_.extract(request);
  if (node.empty()) return;
  waiting_.erase(request);
  Pool& pool = pools_.at(node.mapped().pool);
  pool.commitments.Erase(request);
  if (!pool.queue.Remove(request)) return;
  DecrementKeyCount(pool, node.mapped());
  UpdateBacklog(pool, node.mapped(), now);
}

void Queue::UpdateBacklog(Pool& pool, const QueueEntry& entry,
                          core::Instant now) {
  pool.commitments.SetBacklogged(
      entry.workspace, entry.traffic_class,
      pool.queue.Backlogged(entry.workspace, entry.traffic_class), now);
}

std::optional<QueueEntry> Queue::Take(
    const std::function<Readiness(const QueueEntry&)>& check_readiness,
    core::Instant now) {
  for (auto& [id, pool] : pools_) {
    if (pool.queue.size() == 0) continue;
    const std::optional<scheduling::Ticket> ticket =
        TakeFrom(pool, check_readiness);
    if (ticket) return MoveToRunning(*ticket, now);
  }
  return std::nullopt;
}

std::optional<scheduling::Ticket> Queue::TakeFrom(
    Pool& pool,
    const std::function<Readiness(const QueueEntry&)>& check_readiness) {
  std::set<std::string> busy;
  std::size_t busy_legs = 0;
  return pool.queue.Take([&](const scheduling::Ticket& ticket) {
    const QueueEntry& entry = waiting_.at(ticket.request);
    if (busy.contains(entry.serving_key) || !BelowInFlightLimit(entry)) {
      return scheduling::Verdict::kSkip;
    }
    const Readiness readiness = check_readiness(entry);
    if (readiness == Readiness::kReady) return scheduling::Verdict::kTake;
    if (readiness == Readiness::kBlocked) return scheduling::Verdict::kSkip;
    busy.insert(entry.serving_key);
    busy_legs += pool.waiting_by_key.at(entry.serving_key);
    return busy_legs == pool.queue.size() ? scheduling::Verdict::kStop
                                          : scheduling::Verdict::kSkip;
  });
}

void Queue::DecrementKeyCount(Pool& pool, const QueueEntry& entry) {
  const auto count = pool.waiting_by_key.find(entry.serving_key);
  if (--count->second == 0) pool.waiting_by_key.erase(count);
}

QueueEntry Queue::MoveToRunning(const scheduling::Ticket& ticket,
                                core::Instant now) {
  const auto found = waiting_.find(ticket.request);
  QueueEntry entry = std::move(found->second);
  waiting_.erase(found);
  ++in_flight_[entry.workspace];
  Pool& pool = pools_.at(entry.pool);
  DecrementKeyCount(pool, entry);
  UpdateBacklog(pool, entry, now);
  running_.insert_or_assign(ticket.request, RunningLeg{entry, ticket});
  return entry;
}

void Queue::Complete(const CompletedLeg& completed, core::Instant now) {
  const auto node = running_.extract(completed.request);
  if (node.empty()) return;
  const RunningLeg& leg = node.mapped();
  const auto count = in_flight_.find(leg.entry.workspace);
  if (--count->second == 0) in_flight_.erase(count);
  Pool& pool = pools_.at(leg.entry.pool);
  pool.queue.Complete(leg.ticket, completed.time);
  pool.commitments.AddServed(leg.entry.workspace, leg.entry.traffic_class,
                             completed.time, now);
  UpdateEstimates(leg, completed);
}

void Queue::UpdateEstimates(const RunningLeg& leg,
                            const CompletedLeg& completed) {
  const QueueEntry& entry = leg.entry;
  if (!completed.succeeded) return;
  scheduling::LegTiming timing{completed.first_token, completed.time,
                               completed.tokens};
  if (entry.max_tokens == 0) timing = {completed.time, completed.time, 1};
  estimator_.LearnLeg(entry.pool, entry.traffic_class, ShapeOf(entry), timing);
  if (!completed.answer_tokens) return;
  estimator_.LearnAnswer(entry.pool, entry.traffic_class, entry.max_tokens,
                         *completed.answer_tokens);
}

void Queue::CountLeg(const core::UpstreamId& upstream) {
  budgets_.CountLeg(upstream, RetryPercent({}));
}

bool Queue::ConsumeRetry(
    const core::WorkspaceId& workspace,
    const std::vector<core::UpstreamId>& possible_culprits) {
  return budgets_.Take(workspace, possible_culprits, RetryPercent(workspace));
}

core::Duration Queue::RetryAfter(const scheduling::PoolId& pool) {
  return admission_.RetryAfter(StateOf(pool));
}

PolicyScope Queue::ScopeOf(const QueueEntry& entry) const {
  PolicyScope scope;
  scope.workspace = entry.workspace.value();
  if (entry.max_tokens > 0) scope.model = entry.pool.value();
  scope.host = host_;
  return scope;
}

scheduling::Weights Queue::WeightsOf(const QueueEntry& entry) const {
  const PolicyScope scope = ScopeOf(entry);
  const auto class_key = entry.traffic_class == core::TrafficClass::kInteractive
                             ? schema::PolicyKey::kClassInteractiveWeight
                             : schema::PolicyKey::kClassBatchWeight;
  return {policy_.Get(schema::PolicyKey::kWorkspaceWeight, scope),
          policy_.Get(class_key, scope)};
}

int Queue::RetryPercent(const core::WorkspaceId& workspace) const {
  PolicyScope scope;
  scope.workspace = workspace.value();
  scope.host = host_;
  return static_cast<int>(policy_.Get(schema::PolicyKey::kRetryBudget, scope));
}

std::uint32_t Queue::ExpectedTokens(const QueueEntry& entry) const {
  const std::uint32_t expected = estimator_.EstimateTokens(
      entry.pool, entry.traffic_class, entry.max_tokens);
  const std::uint32_t produced = entry.max_tokens - entry.tokens_left;
  // An answer that is already longer than estimated is assumed to take one
  // more leg.
  if (expected <= produced) return LegTokens(entry);
  return expected - produced;
}

std::uint32_t Queue::LegTokens(const QueueEntry& entry) const {
  const auto max_leg_tokens = static_cast<std::uint32_t>(
      policy_.Get(schema::PolicyKey::kLegMaxTokens, ScopeOf(entry)));
  return std::min(max_leg_tokens, entry.tokens_left);
}

scheduling::LegShape Queue::ShapeOf(const QueueEntry& entry) const {
  if (entry.max_tokens == 0) return {entry.prompt_bytes, 1};
  return {entry.prompt_bytes,
          std::min(ExpectedTokens(entry), LegTokens(entry))};
}

core::Duration Queue::ServiceTime(const QueueEntry& entry,
                                  std::uint32_t tokens) const {
  const auto estimate = [&](std::uint32_t leg_tokens) {
    return estimator_.EstimateLeg(entry.pool, entry.traffic_class,
                                  {entry.prompt_bytes, leg_tokens});
  };
  const std::uint32_t full_leg = LegTokens(entry);
  if (entry.max_tokens == 0 || full_leg == 0) return estimate(1);
  const std::uint32_t last_leg = tokens % full_leg;
  return estimate(full_leg) * (tokens / full_leg) +
         (last_leg > 0 ? estimate(last_leg) : core::Duration::zero());
}

scheduling::Commitment Queue::CommitmentFor(const QueueEntry& entry) const {
  return {entry.workspace, entry.traffic_class, WeightsOf(entry),
          ServiceTime(entry, ExpectedTokens(entry)),
          entry.deadline - ServiceTime(entry, entry.tokens_left)};
}

scheduling::QueueState Queue::StateOf(const scheduling::PoolId& pool) const {
  scheduling::QueueState state;
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    state.running = found->second.queue.running();
    state.waiting = found->second.queue.size();
    state.drain =
        found->second.commitments.DrainTime(static_cast<double>(state.running));
  }
  // max_requests_ bounds the waiting requests of all pools together, so the
  // room left for this pool depends on the others.
  state.capacity =
      state.waiting + max_requests_ - std::min(max_requests_, size());
  return state;
}

bool Queue::BelowInFlightLimit(const QueueEntry& entry) const {
  const auto running = in_flight_.find(entry.workspace);
  if (running == in_flight_.end()) return true;
  return running->second <
         policy_.Get(schema::PolicyKey::kWorkspaceMaxInFlight, ScopeOf(entry));
}

}  // namespace foxquay::dispatch
