#include "foxquay/scheduling/fair_queue.h"

#include <cassert>

namespace foxquay::scheduling {

FairQueue::FairQueue() : workspace_order_(kMaxWorkspaces) {}

void FairQueue::Push(const Ticket& ticket, const Weights& weights,
                     QueueEnd end) {
  assert(!Contains(ticket.request) && "request already has a waiting leg");
  assert(ticket.cost >= core::Duration::zero() && "cost must not be negative");
  workspace_order_.Add(ticket.workspace,
                       static_cast<double>(weights.workspace));
  if (workspaces_.size() > workspace_order_.size()) EvictIdleWorkspaces();
  Workspace& workspace = workspaces_[ticket.workspace];
  workspace.class_order.Add(ticket.traffic_class,
                            static_cast<double>(weights.traffic_class));
  const OrderKey key{end == QueueEnd::kBack, ticket.deadline, ++last_sequence_};
  workspace.flows[ticket.traffic_class].emplace(key, ticket);
  positions_.emplace(ticket.request,
                     Position{ticket.workspace, ticket.traffic_class, key});
}

Ticket FairQueue::Extract(Workspace& workspace,
                          core::TrafficClass traffic_class,
                          const OrderKey& key) {
  Flow& flow = workspace.flows.at(traffic_class);
  const auto found = flow.find(key);
  Ticket ticket = found->second;
  flow.erase(found);
  positions_.erase(ticket.request);
  return ticket;
}

bool FairQueue::Remove(core::RequestId request) {
  const auto found = positions_.find(request);
  if (found == positions_.end()) return false;
  const Position position = found->second;
  Workspace& workspace = workspaces_.at(position.workspace);
  Extract(workspace, position.traffic_class, position.key);
  workspace.class_order.Remove(position.traffic_class);
  workspace_order_.Remove(position.workspace);
  return true;
}

std::optional<Ticket> FairQueue::Take(
    const std::function<Verdict(const Ticket&)>& decide) {
  for (const auto& [rank, id] : workspace_order_.ranks()) {
    Workspace& workspace = workspaces_.at(id);
    for (const auto& [class_rank, traffic_class] :
         workspace.class_order.ranks()) {
      const auto first = workspace.flows.at(traffic_class).begin();
      const Verdict verdict = decide(first->second);
      if (verdict == Verdict::kStop) return std::nullopt;
      if (verdict == Verdict::kSkip) continue;
      const OrderKey key = first->first;
      const Ticket ticket = Extract(workspace, traffic_class, key);
      workspace.class_order.Serve(ticket.traffic_class, ticket.cost);
      workspace_order_.Serve(ticket.workspace, ticket.cost);
      ++running_;
      return ticket;
    }
  }
  return std::nullopt;
}

void FairQueue::Complete(const Ticket& ticket, core::Duration actual) {
  assert(running_ > 0 && "Complete called without a leg in service");
  --running_;
  const auto found = workspaces_.find(ticket.workspace);
  if (found == workspaces_.end()) return;
  const core::Duration error = actual - ticket.cost;
  found->second.class_order.Complete(ticket.traffic_class, error);
  workspace_order_.Complete(ticket.workspace, error);
}

bool FairQueue::Backlogged(const core::WorkspaceId& workspace,
                           core::TrafficClass traffic_class) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) return false;
  const auto flow = found->second.flows.find(traffic_class);
  return flow != found->second.flows.end() && !flow->second.empty();
}

bool FairQueue::Contains(core::RequestId request) const {
  return positions_.contains(request);
}

void FairQueue::EvictIdleWorkspaces() {
  std::erase_if(workspaces_, [this](const auto& entry) {
    return !workspace_order_.Contains(entry.first);
  });
}

}  // namespace foxquay::scheduling
