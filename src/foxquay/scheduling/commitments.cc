#include "foxquay/scheduling/commitments.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace foxquay::scheduling {
namespace {

// Requests of a flow whose time left is checked on each admission.
constexpr std::size_t kMaxChecks = 8;
// Least slots that a wait is divided by.
constexpr double kMinParallel = 0.25;

core::Duration InProportion(core::Duration work, std::int64_t weight,
                            std::int64_t own_weight) noexcept {
  const double part =
      static_cast<double>(weight) / static_cast<double>(own_weight);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(work) * part);
}

core::Duration Divide(core::Duration work, double parallel) noexcept {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(work) / std::max(kMinParallel, parallel));
}

}  // namespace

void Commitments::Set(core::RequestId request, const Commitment& commitment) {
  Erase(request);
  Workspace& workspace = workspaces_[commitment.workspace];
  weights_ += commitment.weights.workspace - workspace.weight;
  workspace.weight = commitment.weights.workspace;
  workspace.total += commitment.remaining_service;
  Flow& flow = workspace.flows[commitment.traffic_class];
  flow.weight = commitment.weights.traffic_class;
  flow.total += commitment.remaining_service;
  flow.work.emplace(Key{commitment.latest_start, request},
                    commitment.remaining_service);
  total_ += commitment.remaining_service;
  requests_.emplace(request,
                    Place{commitment.workspace, commitment.traffic_class,
                          commitment.latest_start});
}

void Commitments::Erase(core::RequestId request) {
  const auto node = requests_.extract(request);
  if (node.empty()) return;
  const Place& place = node.mapped();
  const auto workspace = workspaces_.find(place.workspace);
  const auto flow = workspace->second.flows.find(place.traffic_class);
  const auto entry = flow->second.work.find({place.latest_start, request});
  const core::Duration remaining = entry->second;
  flow->second.work.erase(entry);
  flow->second.total -= remaining;
  workspace->second.total -= remaining;
  total_ -= remaining;
  if (flow->second.work.empty()) workspace->second.flows.erase(flow);
  if (!workspace->second.flows.empty()) return;
  weights_ -= workspace->second.weight;
  workspaces_.erase(workspace);
}

core::Duration Commitments::Served(const Commitment& added,
                                   core::Duration own) const {
  const auto found = workspaces_.find(added.workspace);
  if (found == workspaces_.end()) return own;
  core::Duration of_workspace = own;
  for (const auto& [traffic_class, flow] : found->second.flows) {
    if (traffic_class == added.traffic_class) continue;
    of_workspace +=
        std::min(flow.total,
                 InProportion(own, flow.weight, added.weights.traffic_class));
  }
  const core::Duration of_others = InProportion(
      of_workspace, weights_ - found->second.weight, found->second.weight);
  return of_workspace + std::min(total_ - found->second.total, of_others);
}

core::Duration Commitments::TimeFor(const Commitment& added, core::Duration own,
                                    double parallel) const {
  const core::Duration expected = Divide(Served(added, own), parallel);
  const ServiceRate* rate = rates_.Find({added.workspace, added.traffic_class});
  if (rate == nullptr || expected <= core::Duration::zero()) return expected;
  const double expected_rate = std::chrono::duration<double>(own) /
                               std::chrono::duration<double>(expected);
  return Divide(own, rate->Rate(expected_rate));
}

void Commitments::SetBacklogged(const core::WorkspaceId& workspace,
                                core::TrafficClass traffic_class,
                                bool backlogged, core::Instant now) {
  rates_.Use({workspace, traffic_class}, {}).SetBacklogged(backlogged, now);
}

void Commitments::AddServed(const core::WorkspaceId& workspace,
                            core::TrafficClass traffic_class,
                            core::Duration service, core::Instant now) {
  rates_.Use({workspace, traffic_class}, {}).Add(service, now);
}

const Commitments::Flow* Commitments::Find(const Commitment& added) const {
  const auto workspace = workspaces_.find(added.workspace);
  if (workspace == workspaces_.end()) return nullptr;
  const auto flow = workspace->second.flows.find(added.traffic_class);
  return flow == workspace->second.flows.end() ? nullptr : &flow->second;
}

core::Duration Commitments::Wait(const Commitment& added,
                                 double parallel) const {
  core::Duration own = core::Duration::zero();
  if (const Flow* flow = Find(added)) {
    for (const auto& [key, remaining] : flow->work) {
      if (key.first > added.latest_start) break;
      own += remaining;
    }
  }
  return TimeFor(added, own, parallel);
}

bool Commitments::Fits(const Commitment& added, core::Instant now,
                       double parallel) const {
  const Flow* flow = Find(added);
  if (flow == nullptr) return true;
  const std::size_t stride = flow->work.size() / kMaxChecks + 1;
  core::Duration own = added.remaining_service;
  std::size_t number = 0;
  for (const auto& [key, remaining] : flow->work) {
    const core::Instant latest_start = key.first;
    const bool later = latest_start > added.latest_start;
    // A request past its latest start runs or is lost already.
    if (later && latest_start > now && ++number % stride == 0 &&
        TimeFor(added, own, parallel) > latest_start - now) {
      return false;
    }
    own += remaining;
  }
  return true;
}

core::Duration Commitments::DrainTime(double parallel) const {
  return Divide(total_, parallel);
}

}  // namespace foxquay::scheduling
