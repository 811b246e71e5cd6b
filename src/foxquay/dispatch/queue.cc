#include "foxquay/dispatch/queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxquay::dispatch {
namespace internal {

/// Models and services with their own queue before idle queues are dropped:
/// the 37 models of the design size and as many services, several times over.
constexpr std::size_t kMaxPools = 256;

std::string Reason(scheduling::RefusalReason reason) {
  switch (reason) {
    case scheduling::RefusalReason::kQueueFull:
      return "queue is full";
    case scheduling::RefusalReason::kDeadline:
      return "queue is too long for the deadline";
    case scheduling::RefusalReason::kServiceTime:
      return "deadline is shorter than the service time";
  }
  return "invalid refusal";
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

std::optional<Refusal> Queue::Admit(const Waiting& waiting, core::Instant now) {
  scheduling::QueueState state = StateOf(waiting.pool);
  const scheduling::Commitment added = CommitmentTo(waiting);
  const auto pool = pools_.find(waiting.pool);
  if (pool != pools_.end()) {
    const scheduling::Commitments& owed = pool->second.commitments;
    const auto parallel = static_cast<double>(state.running);
    state.wait = owed.Wait(added, parallel);
    state.fits = owed.Fits(added, now, parallel);
  }
  const auto refusal =
      admission_.Check({waiting.deadline - now, added.remaining_service,
                        waiting.deadline - added.latest_start},
                       state);
  if (refusal) {
    return Refusal{internal::Reason(refusal->reason), refusal->retry_after};
  }
  budgets_.CountRequest(waiting.workspace, RetryPercent(waiting.workspace));
  return std::nullopt;
}

void Queue::Push(const Waiting& waiting, core::Instant now) {
  if (pools_.size() >= internal::kMaxPools) {
    std::erase_if(pools_, [](const auto& entry) {
      return entry.second.commitments.size() == 0 &&
             entry.second.queue.running() == 0;
    });
  }
  const scheduling::Ticket ticket{
      waiting.request, waiting.workspace, waiting.traffic_class,
      estimator_.EstimateLeg(waiting.pool, waiting.traffic_class,
                             ShapeOf(waiting)),
      waiting.deadline};
  Pool& pool = pools_[waiting.pool];
  pool.queue.Push(ticket, ShareOf(waiting),
                  waiting.resumed ? scheduling::QueueEnd::kFront
                                  : scheduling::QueueEnd::kBack);
  pool.commitments.Set(waiting.request, CommitmentTo(waiting));
  admitted_.insert_or_assign(waiting.request, waiting);
  NoteBacklog(pool, waiting, now);
  ++pool.offers[waiting.offer];
  waiting_.emplace(waiting.request, waiting);
}

void Queue::Remove(core::RequestId request, core::Instant now) {
  const auto node = admitted_.extract(request);
  if (node.empty()) return;
  waiting_.erase(request);
  Pool& pool = pools_.at(node.mapped().pool);
  pool.commitments.Erase(request);
  if (!pool.queue.Remove(request)) return;
  EndWait(pool, node.mapped());
  NoteBacklog(pool, node.mapped(), now);
}

void Queue::NoteBacklog(Pool& pool, const Waiting& waiting, core::Instant now) {
  pool.commitments.SetBacklogged(
      waiting.workspace, waiting.traffic_class,
      pool.queue.Backlogged(waiting.workspace, waiting.traffic_class), now);
}

std::optional<Waiting> Queue::Take(
    const std::function<Readiness(const Waiting&)>& judge, core::Instant now) {
  for (auto& [id, pool] : pools_) {
    if (pool.queue.size() == 0) continue;
    const std::optional<scheduling::Ticket> ticket = TakeFrom(pool, judge);
    if (ticket) return Taking(*ticket, now);
  }
  return std::nullopt;
}

std::optional<scheduling::Ticket> Queue::TakeFrom(
    Pool& pool, const std::function<Readiness(const Waiting&)>& judge) {
  std::set<std::string> busy;
  std::size_t busy_legs = 0;
  return pool.queue.Take([&](const scheduling::Ticket& ticket) {
    const Waiting& waiting = waiting_.at(ticket.request);
    if (busy.contains(waiting.offer) || !MayRun(waiting)) {
      return scheduling::Verdict::kSkip;
    }
    const Readiness readiness = judge(waiting);
    if (readiness == Readiness::kReady) return scheduling::Verdict::kTake;
    if (readiness == Readiness::kBlocked) return scheduling::Verdict::kSkip;
    busy.insert(waiting.offer);
    busy_legs += pool.offers.at(waiting.offer);
    return busy_legs == pool.queue.size() ? scheduling::Verdict::kStop
                                          : scheduling::Verdict::kSkip;
  });
}

void Queue::EndWait(Pool& pool, const Waiting& waiting) {
  const auto offer = pool.offers.find(waiting.offer);
  if (--offer->second == 0) pool.offers.erase(offer);
}

Waiting Queue::Taking(const scheduling::Ticket& ticket, core::Instant now) {
  const auto found = waiting_.find(ticket.request);
  Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  ++in_flight_[waiting.workspace];
  Pool& pool = pools_.at(waiting.pool);
  EndWait(pool, waiting);
  NoteBacklog(pool, waiting, now);
  taken_.insert_or_assign(ticket.request, Taken{waiting, ticket});
  return waiting;
}

void Queue::Complete(const Served& served, core::Instant now) {
  const auto node = taken_.extract(served.request);
  if (node.empty()) return;
  const Taken& taken = node.mapped();
  const auto count = in_flight_.find(taken.waiting.workspace);
  if (--count->second == 0) in_flight_.erase(count);
  Pool& pool = pools_.at(taken.waiting.pool);
  pool.queue.Complete(taken.ticket, served.time);
  pool.commitments.AddServed(taken.waiting.workspace,
                             taken.waiting.traffic_class, served.time, now);
  Learn(taken, served);
}

void Queue::Learn(const Taken& taken, const Served& served) {
  const Waiting& waiting = taken.waiting;
  if (!served.ended_well) return;
  scheduling::LegTiming timing{served.first_token, served.time, served.tokens};
  if (waiting.max_tokens == 0) timing = {served.time, served.time, 1};
  estimator_.LearnLeg(waiting.pool, waiting.traffic_class, ShapeOf(waiting),
                      timing);
  if (!served.answer) return;
  estimator_.LearnAnswer(waiting.pool, waiting.traffic_class,
                         waiting.max_tokens, *served.answer);
}

void Queue::CountLeg(const core::UpstreamId& upstream) {
  budgets_.CountLeg(upstream, RetryPercent({}));
}

bool Queue::AllowRetry(const core::WorkspaceId& workspace,
                       const std::vector<core::UpstreamId>& failed) {
  return budgets_.Take(workspace, failed, RetryPercent(workspace));
}

core::Duration Queue::RetryAfter(const scheduling::PoolId& pool) {
  return admission_.RetryAfter(StateOf(pool));
}

PolicyScope Queue::ScopeOf(const Waiting& waiting) const {
  PolicyScope scope;
  scope.workspace = waiting.workspace.value();
  if (waiting.max_tokens > 0) scope.model = waiting.pool.value();
  scope.host = host_;
  return scope;
}

scheduling::Weights Queue::ShareOf(const Waiting& waiting) const {
  const PolicyScope scope = ScopeOf(waiting);
  const auto class_key =
      waiting.traffic_class == core::TrafficClass::kInteractive
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

std::uint32_t Queue::ExpectedTokens(const Waiting& waiting) const {
  const std::uint32_t expected = estimator_.EstimateTokens(
      waiting.pool, waiting.traffic_class, waiting.max_tokens);
  const std::uint32_t produced = waiting.max_tokens - waiting.tokens_left;
  // An answer longer than expected is expected to take one more leg.
  if (expected <= produced) return LegTokens(waiting);
  return expected - produced;
}

std::uint32_t Queue::LegTokens(const Waiting& waiting) const {
  const auto most = static_cast<std::uint32_t>(
      policy_.Get(schema::PolicyKey::kLegMaxTokens, ScopeOf(waiting)));
  return std::min(most, waiting.tokens_left);
}

scheduling::LegShape Queue::ShapeOf(const Waiting& waiting) const {
  if (waiting.max_tokens == 0) return {waiting.prompt_bytes, 1};
  return {waiting.prompt_bytes,
          std::min(ExpectedTokens(waiting), LegTokens(waiting))};
}

core::Duration Queue::ServiceOf(const Waiting& waiting,
                                std::uint32_t tokens) const {
  const auto estimate = [&](std::uint32_t leg_tokens) {
    return estimator_.EstimateLeg(waiting.pool, waiting.traffic_class,
                                  {waiting.prompt_bytes, leg_tokens});
  };
  const std::uint32_t full = LegTokens(waiting);
  if (waiting.max_tokens == 0 || full == 0) return estimate(1);
  const std::uint32_t rest = tokens % full;
  return estimate(full) * (tokens / full) +
         (rest > 0 ? estimate(rest) : core::Duration::zero());
}

scheduling::Commitment Queue::CommitmentTo(const Waiting& waiting) const {
  return {waiting.workspace, waiting.traffic_class, ShareOf(waiting),
          ServiceOf(waiting, ExpectedTokens(waiting)),
          waiting.deadline - ServiceOf(waiting, waiting.tokens_left)};
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
  // The bound applies to the waiting requests of all pools.
  state.capacity =
      state.waiting + max_requests_ - std::min(max_requests_, size());
  return state;
}

bool Queue::MayRun(const Waiting& waiting) const {
  const auto running = in_flight_.find(waiting.workspace);
  if (running == in_flight_.end()) return true;
  return running->second < policy_.Get(schema::PolicyKey::kWorkspaceMaxInFlight,
                                       ScopeOf(waiting));
}

}  // namespace foxquay::dispatch
