#include "foxquay/placement/reconciler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxquay::placement {
namespace internal {

/// Time by which the reports of upstreams lag behind their state, with a
/// margin.
constexpr core::Duration kReportLag = std::chrono::milliseconds(250);

/// Interval between two inquiries while an order is in progress or unreported.
constexpr core::Duration kBusyInquiryInterval = std::chrono::milliseconds(400);

/// Delay before the next order to an upstream that refused or fenced one.
constexpr core::Duration kRefusedOrderBackoff = std::chrono::seconds(2);

/// Returns whether upstreams in the data centre of `upstream` hold all of
/// `layers`.
bool AllHeld(const std::vector<ModelUpstream>& placement,
             const core::UpstreamId& upstream, Range layers) {
  const auto found = std::find_if(
      placement.begin(), placement.end(),
      [&](const ModelUpstream& other) { return other.id == upstream; });
  for (std::uint32_t layer = layers.first; layer < layers.end; ++layer) {
    const bool held = std::any_of(
        placement.begin(), placement.end(), [&](const ModelUpstream& other) {
          return other.data_centre == found->data_centre &&
                 other.layers.first <= layer && layer < other.layers.end;
        });
    if (!held) return false;
  }
  return true;
}

}  // namespace internal

Range HeldLayers(const schema::Announcement& announcement) {
  if (announcement.unplaced || announcement.kind != "model") return {};
  return {announcement.layers.first, announcement.layers.last + 1};
}

void Reconciler::SetLeadership(bool leads, std::uint64_t term,
                               core::Instant now) {
  if (leads && (!leads_ || term != term_)) {
    first_order_at_ = now + kSettleTime;
    for (auto& [id, state] : upstreams_) {
      state.target.reset();
      state.order_sent = false;
      state.inquiry_sent = false;
      state.order_count_requested = false;
    }
  }
  leads_ = leads;
  term_ = term;
}

void Reconciler::SetUpstreams(
    const std::vector<schema::Announcement>& upstreams,
    const std::optional<schema::Engine>& engine, core::Instant now) {
  if (!engine_ && engine && leads_) first_order_at_ = now + kSettleTime;
  if (engine_ != engine) planned_.reset();
  engine_ = engine;
  std::set<core::UpstreamId> present;
  for (const schema::Announcement& announcement : upstreams) {
    present.insert(announcement.id);
    const auto [found, inserted] =
        upstreams_.try_emplace(announcement.id, UpstreamState{});
    if (inserted) last_added_at_ = now;
    UpstreamState& state = found->second;
    const bool restarted =
        !inserted && state.announcement.born != announcement.born;
    if (restarted) state = UpstreamState{};
    state.announcement = announcement;
    if (state.target == HeldLayers(announcement)) state.target.reset();
  }
  std::erase_if(upstreams_, [&present](const auto& item) {
    return !present.contains(item.first);
  });
}

core::Duration Reconciler::LoadTime(std::uint32_t layers) const {
  return engine_->load * layers / std::max(1U, engine_->layers);
}

void Reconciler::HandleOrderOutcome(const core::UpstreamId& upstream,
                                    OrderOutcome outcome, core::Instant now) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return;
  UpstreamState& state = found->second;
  state.order_sent = false;
  if (!state.target || !engine_) return;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      ++state.accepted_orders;
      state.target_deadline =
          now + LoadTime(state.target->size()) + internal::kReportLag;
      return;
    case OrderOutcome::kMismatch:
      // A report sent now may still show an older state than the one that the
      // order did not match.
      state.target_deadline = now + internal::kReportLag;
      return;
    case OrderOutcome::kUnanswered:
      state.target_deadline = now;
      return;
    case OrderOutcome::kFenced:
    case OrderOutcome::kRefused:
      state.target.reset();
      state.backoff = now + internal::kRefusedOrderBackoff;
      return;
  }
}

void Reconciler::HandleReport(const core::UpstreamId& upstream,
                              const std::optional<Report>& report,
                              core::Instant now) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return;
  UpstreamState& state = found->second;
  state.inquiry_sent = false;
  if (report) state.accepted_orders = report->orders;
  if (!report || report->busy) {
    state.target_deadline = now + internal::kBusyInquiryInterval;
    return;
  }
  state.target.reset();
  state.announcement.unplaced = report->layers.empty();
  if (!report->layers.empty()) {
    state.announcement.layers = {report->layers.first, report->layers.end - 1};
  }
}

std::vector<ModelUpstream> Reconciler::CurrentPlacement() const {
  std::vector<ModelUpstream> placement;
  for (const auto& [id, state] : upstreams_) {
    const schema::Announcement& announcement = state.announcement;
    placement.push_back({id, announcement.data_centre, announcement.accelerator,
                         state.target.value_or(HeldLayers(announcement))});
  }
  return placement;
}

void Reconciler::RequestOrderCounts(std::vector<Action>& actions) {
  for (auto& [id, state] : upstreams_) {
    if (std::exchange(state.order_count_requested, true)) continue;
    actions.push_back(Inquiry{id, state.announcement.address});
  }
}

void Reconciler::InquireOverdueTargets(core::Instant now,
                                       std::vector<Action>& actions) {
  for (auto& [id, state] : upstreams_) {
    const bool overdue = state.target && !state.order_sent &&
                         !state.inquiry_sent && now >= state.target_deadline;
    if (!overdue) continue;
    state.inquiry_sent = true;
    actions.push_back(Inquiry{id, state.announcement.address});
  }
}

void Reconciler::UpdatePlan() {
  std::vector<ModelUpstream> placement = CurrentPlacement();
  if (placement == planned_) return;
  plan_ = Plan(*engine_, placement);
  planned_ = std::move(placement);
}

bool Reconciler::Settled(core::Instant now) const {
  if (!first_order_at_ || now < *first_order_at_) return false;
  if (now >= *first_order_at_ + kMaxQuietDelay) return true;
  const bool placed =
      std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& item) {
        return item.second.target ||
               !HeldLayers(item.second.announcement).empty();
      });
  return placed || now >= last_added_at_ + kQuietTime;
}

std::size_t Reconciler::CountLoads(core::Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [now](const auto& item) {
        return item.second.target && now < item.second.target_deadline;
      }));
}

std::vector<Assignment> Reconciler::DueAssignments(core::Instant now) const {
  std::vector<Assignment> due;
  std::vector<Assignment> others;
  for (const Assignment& assignment : plan_) {
    const UpstreamState& state = upstreams_.at(assignment.id);
    if (state.order_sent || state.inquiry_sent || now < state.backoff) continue;
    const bool held =
        internal::AllHeld(*planned_, assignment.id, assignment.layers);
    (held ? others : due).push_back(assignment);
  }
  const std::size_t loads = CountLoads(now) + due.size();
  if (loads >= kLoadsAtOnce) return due;
  others.resize(std::min(others.size(), kLoadsAtOnce - loads));
  due.insert(due.end(), others.begin(), others.end());
  return due;
}

std::vector<CentreCapacity> Reconciler::Measure() const {
  if (!engine_) return {};
  return MeasureCapacity(*engine_, CurrentPlacement());
}

std::vector<Action> Reconciler::Tick(core::Instant now) {
  std::vector<Action> actions;
  if (!leads_ || !engine_ || engine_->layers == 0) return actions;
  RequestOrderCounts(actions);
  if (!Settled(now)) return actions;
  InquireOverdueTargets(now, actions);
  UpdatePlan();
  for (const Assignment& assignment : DueAssignments(now)) {
    UpstreamState& state = upstreams_.at(assignment.id);
    const Range held = state.target.value_or(HeldLayers(state.announcement));
    const bool gives_up =
        !held.empty() && (held.first < assignment.layers.first ||
                          held.end > assignment.layers.end);
    state.target = assignment.layers;
    state.order_sent = true;
    state.target_deadline = now + kOrderTimeout;
    actions.push_back(Order{assignment.id, state.announcement.address,
                            assignment.layers, term_, state.accepted_orders,
                            gives_up});
  }
  return actions;
}

}  // namespace foxquay::placement
