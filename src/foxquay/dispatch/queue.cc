#include "foxquay/dispatch/queue.h"

#include <algorithm>
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
  core::Duration work_before = core::Duration::zero();
  const auto pool = pools_.find(waiting.pool);
  if (pool != pools_.end()) {
    work_before = pool->second.WorkBefore(
        waiting.workspace, waiting.traffic_class, ShareOf(waiting));
  }
  const auto refusal = admission_.Check(DemandOf(waiting, now),
                                        StateOf(waiting.pool, work_before));
  if (refusal) {
    return Refusal{internal::Reason(refusal->reason), refusal->retry_after};
  }
  budgets_.CountRequest(waiting.workspace, RetryPercent(waiting.workspace));
  return std::nullopt;
}

void Queue::Push(const Waiting& waiting) {
  if (pools_.size() >= internal::kMaxPools) {
    std::erase_if(pools_, [](const auto& entry) {
      return entry.second.size() == 0 && entry.second.running() == 0;
    });
  }
  const scheduling::Ticket ticket{
      waiting.request, waiting.workspace, waiting.traffic_class,
      estimator_.EstimateLeg(waiting.pool, waiting.traffic_class,
                             ShapeOf(waiting))};
  pools_[waiting.pool].Push(
      ticket, ShareOf(waiting),
      waiting.resumed ? scheduling::Place::kFront : scheduling::Place::kBack);
  waiting_.emplace(waiting.request, waiting);
}

void Queue::Remove(core::RequestId request) {
  const auto found = waiting_.find(request);
  if (found == waiting_.end()) return;
  pools_.at(found->second.pool).Remove(request);
  waiting_.erase(found);
}

std::optional<Waiting> Queue::Take(
    const std::function<bool(const Waiting&)>& runnable) {
  const auto accept = [&](const scheduling::Ticket& ticket) {
    const Waiting& waiting = waiting_.at(ticket.request);
    return MayRun(waiting) && runnable(waiting);
  };
  for (auto& [id, pool] : pools_) {
    if (pool.size() == 0) continue;
    const std::optional<scheduling::Ticket> ticket = pool.Take(accept);
    if (ticket) return Taking(*ticket);
  }
  return std::nullopt;
}

Waiting Queue::Taking(const scheduling::Ticket& ticket) {
  const auto found = waiting_.find(ticket.request);
  Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  ++in_flight_[waiting.workspace];
  taken_.insert_or_assign(ticket.request, Taken{waiting, ticket});
  return waiting;
}

void Queue::Complete(const Served& served) {
  const auto node = taken_.extract(served.request);
  if (node.empty()) return;
  const Taken& taken = node.mapped();
  const auto count = in_flight_.find(taken.waiting.workspace);
  if (--count->second == 0) in_flight_.erase(count);
  pools_.at(taken.waiting.pool).Complete(taken.ticket, served.time);
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
  const auto found = pools_.find(pool);
  const core::Duration backlog =
      found == pools_.end() ? core::Duration::zero() : found->second.Backlog();
  return admission_.RetryAfter(StateOf(pool, backlog));
}

PolicyScope Queue::ScopeOf(const Waiting& waiting) const {
  PolicyScope scope;
  scope.workspace = waiting.workspace.value();
  if (waiting.max_tokens > 0) scope.model = waiting.pool.value();
  scope.host = host_;
  return scope;
}

scheduling::Share Queue::ShareOf(const Waiting& waiting) const {
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

scheduling::Demand Queue::DemandOf(const Waiting& waiting,
                                   core::Instant now) const {
  const scheduling::LegShape shape = ShapeOf(waiting);
  scheduling::Demand demand;
  demand.time_left = waiting.deadline - now;
  if (waiting.max_tokens > 0) {
    const std::uint32_t tokens = std::max(1U, shape.tokens);
    demand.legs = (ExpectedTokens(waiting) + tokens - 1) / tokens;
  }
  demand.service =
      estimator_.EstimateLeg(waiting.pool, waiting.traffic_class, shape) *
      demand.legs;
  return demand;
}

scheduling::QueueState Queue::StateOf(const scheduling::PoolId& pool,
                                      core::Duration work_before) const {
  scheduling::QueueState state;
  state.work_before = work_before;
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    state.running = found->second.running();
    state.waiting = found->second.size();
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
