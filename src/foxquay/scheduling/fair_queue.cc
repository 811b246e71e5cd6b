#include "foxquay/scheduling/fair_queue.h"

#include <cassert>

namespace foxquay::scheduling {

FairQueue::FairQueue() : order_(kMaxWorkspaces) {}

void FairQueue::Push(const Ticket& ticket, const Weights& weights,
                     QueueEnd end) {
  assert(!Contains(ticket.request) && "a request has one waiting leg");
  assert(ticket.cost >= core::Duration::zero() && "a cost is not negative");
  order_.Add(ticket.workspace, static_cast<double>(weights.workspace));
  if (workspaces_.size() > order_.size()) Sweep();
  Workspace& workspace = workspaces_[ticket.workspace];
  workspace.classes.Add(ticket.traffic_class,
                        static_cast<double>(weights.traffic_class));
  const Number number{end == QueueEnd::kBack, ticket.deadline, ++last_number_};
  workspace.flows[ticket.traffic_class].emplace(number, ticket);
  places_.emplace(ticket.request,
                  Position{ticket.workspace, ticket.traffic_class, number});
}

Ticket FairQueue::Extract(Workspace& workspace,
                          core::TrafficClass traffic_class,
                          const Number& number) {
  Flow& flow = workspace.flows.at(traffic_class);
  const auto found = flow.find(number);
  Ticket ticket = found->second;
  flow.erase(found);
  places_.erase(ticket.request);
  return ticket;
}

bool FairQueue::Remove(core::RequestId request) {
  const auto found = places_.find(request);
  if (found == places_.end()) return false;
  const Position position = found->second;
  Workspace& workspace = workspaces_.at(position.workspace);
  Extract(workspace, position.traffic_class, position.number);
  workspace.classes.Remove(position.traffic_class);
  order_.Remove(position.workspace);
  return true;
}

std::optional<Ticket> FairQueue::Take(
    const std::function<Verdict(const Ticket&)>& judge) {
  for (const auto& [rank, id] : order_.ranks()) {
    Workspace& workspace = workspaces_.at(id);
    for (const auto& [class_rank, traffic_class] : workspace.classes.ranks()) {
      const auto first = workspace.flows.at(traffic_class).begin();
      const Verdict verdict = judge(first->second);
      if (verdict == Verdict::kStop) return std::nullopt;
      if (verdict == Verdict::kSkip) continue;
      const Number number = first->first;
      const Ticket ticket = Extract(workspace, traffic_class, number);
      workspace.classes.Serve(ticket.traffic_class, ticket.cost);
      order_.Serve(ticket.workspace, ticket.cost);
      ++running_;
      return ticket;
    }
  }
  return std::nullopt;
}

void FairQueue::Complete(const Ticket& ticket, core::Duration actual) {
  assert(running_ > 0 && "only a taken leg completes");
  --running_;
  const auto found = workspaces_.find(ticket.workspace);
  if (found == workspaces_.end()) return;
  const core::Duration error = actual - ticket.cost;
  found->second.classes.Complete(ticket.traffic_class, error);
  order_.Complete(ticket.workspace, error);
}

bool FairQueue::Backlogged(const core::WorkspaceId& workspace,
                           core::TrafficClass traffic_class) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) return false;
  const auto flow = found->second.flows.find(traffic_class);
  return flow != found->second.flows.end() && !flow->second.empty();
}

bool FairQueue::Contains(core::RequestId request) const {
  return places_.contains(request);
}

void FairQueue::Sweep() {
  std::erase_if(workspaces_, [this](const auto& entry) {
    return !order_.Contains(entry.first);
  });
}

}  // namespace foxquay::scheduling
