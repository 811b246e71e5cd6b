#include "foxquay/scheduling/commitments.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace foxquay::scheduling {
namespace {

// Later requests of a flow that are checked on each admission, spread evenly.
constexpr std::size_t kMaxChecks = 8;
// Least number of slots that work is divided by.
constexpr double kMinSlots = 0.25;

// Returns the work of a flow with `weight` that is served while a flow with
// `own_weight` gets `work`.
core::Duration InProportion(core::Duration work, std::int64_t weight,
                            std::int64_t own_weight) noexcept {
  const double part =
      static_cast<double>(weight) / static_cast<double>(own_weight);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(work) * part);
}

core::Duration Divide(core::Duration work, double slots) noexcept {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(work) / std::max(kMinSlots, slots));
}

}  // namespace

void Commitments::Set(core::RequestId request, const Commitment& commitment) {
  Erase(request);
  Workspace& workspace = workspaces_[commitment.workspace];
  total_weight_ += commitment.weights.workspace - workspace.weight;
  workspace.weight = commitment.weights.workspace;
  workspace.total_work += commitment.remaining_service;
  Flow& flow = workspace.flows[commitment.traffic_class];
  flow.weight = commitment.weights.traffic_class;
  flow.total_work += commitment.remaining_service;
  flow.work.emplace(Key{commitment.latest_start, request},
                    commitment.remaining_service);
  total_work_ += commitment.remaining_service;
  requests_.emplace(request,
                    Location{commitment.workspace, commitment.traffic_class,
                             commitment.latest_start});
}

void Commitments::Erase(core::RequestId request) {
  const auto node = requests_.extract(request);
  if (node.empty()) return;
  const Location& location = node.mapped();
  const auto workspace = workspaces_.find(location.workspace);
  const auto flow = workspace->second.flows.find(location.traffic_class);
  const auto entry = flow->second.work.find({location.latest_start, request});
  const core::Duration remaining = entry->second;
  flow->second.work.erase(entry);
  flow->second.total_work -= remaining;
  workspace->second.total_work -= remaining;
  total_work_ -= remaining;
  if (flow->second.work.empty()) workspace->second.flows.erase(flow);
  if (!workspace->second.flows.empty()) return;
  total_weight_ -= workspace->second.weight;
  workspaces_.erase(workspace);
}

core::Duration Commitments::WorkUntilServed(const Commitment& candidate,
                                            core::Duration own_work) const {
  const auto found = workspaces_.find(candidate.workspace);
  if (found == workspaces_.end()) return own_work;
  core::Duration workspace_work = own_work;
  for (const auto& [traffic_class, flow] : found->second.flows) {
    if (traffic_class == candidate.traffic_class) continue;
    workspace_work += std::min(
        flow.total_work,
        InProportion(own_work, flow.weight, candidate.weights.traffic_class));
  }
  const core::Duration other_work =
      InProportion(workspace_work, total_weight_ - found->second.weight,
                   found->second.weight);
  return workspace_work +
         std::min(total_work_ - found->second.total_work, other_work);
}

core::Duration Commitments::TimeUntilServed(const Commitment& candidate,
                                            core::Duration own_work,
                                            double slots) const {
  const core::Duration expected =
      Divide(WorkUntilServed(candidate, own_work), slots);
  const ServiceRate* rate =
      service_rates_.Find({candidate.workspace, candidate.traffic_class});
  if (rate == nullptr || expected <= core::Duration::zero()) return expected;
  const double expected_rate = std::chrono::duration<double>(own_work) /
                               std::chrono::duration<double>(expected);
  return Divide(own_work, rate->Rate(expected_rate));
}

void Commitments::SetBacklogged(const core::WorkspaceId& workspace,
                                core::TrafficClass traffic_class,
                                bool backlogged, core::Instant now) {
  service_rates_.GetOrCreate({workspace, traffic_class}, {})
      .SetBacklogged(backlogged, now);
}

void Commitments::AddServed(const core::WorkspaceId& workspace,
                            core::TrafficClass traffic_class,
                            core::Duration service, core::Instant now) {
  service_rates_.GetOrCreate({workspace, traffic_class}, {}).Add(service, now);
}

const Commitments::Flow* Commitments::FindFlow(
    const Commitment& candidate) const {
  const auto workspace = workspaces_.find(candidate.workspace);
  if (workspace == workspaces_.end()) return nullptr;
  const auto flow = workspace->second.flows.find(candidate.traffic_class);
  return flow == workspace->second.flows.end() ? nullptr : &flow->second;
}

core::Duration Commitments::Wait(const Commitment& candidate,
                                 double slots) const {
  core::Duration own_work = core::Duration::zero();
  if (const Flow* flow = FindFlow(candidate)) {
    for (const auto& [key, remaining] : flow->work) {
      if (key.first > candidate.latest_start) break;
      own_work += remaining;
    }
  }
  return TimeUntilServed(candidate, own_work, slots);
}

bool Commitments::Fits(const Commitment& candidate, core::Instant now,
                       double slots) const {
  const Flow* flow = FindFlow(candidate);
  if (flow == nullptr) return true;
  const std::size_t stride = flow->work.size() / kMaxChecks + 1;
  core::Duration own_work = candidate.remaining_service;
  std::size_t later_count = 0;
  for (const auto& [key, remaining] : flow->work) {
    const core::Instant latest_start = key.first;
    const bool later = latest_start > candidate.latest_start;
    // A request past its latest start already runs, or misses its deadline
    // anyway.
    if (later && latest_start > now && ++later_count % stride == 0 &&
        TimeUntilServed(candidate, own_work, slots) > latest_start - now) {
      return false;
    }
    own_work += remaining;
  }
  return true;
}

core::Duration Commitments::DrainTime(double slots) const {
  return Divide(total_work_, slots);
}

}  // namespace foxquay::scheduling
