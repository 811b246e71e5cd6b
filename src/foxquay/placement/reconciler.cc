#include "foxquay/placement/reconciler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace foxquay::placement {
namespace internal {

/// Time by which upstreams' reports lag behind their state, with some margin.
constexpr core::Duration kReportLag = std::chrono::milliseconds(250);

/// Pause between two inquiries about an order in progress.
constexpr core::Duration kBusyPause = std::chrono::milliseconds(400);

/// Pause before another order to an upstream that refused one.
constexpr core::Duration kRefusalPause = std::chrono::seconds(2);

}  // namespace internal

Range HeldLayers(const schema::Announcement& announcement) {
  if (announcement.unplaced || announcement.kind != "model") return {};
  return {announcement.layers.first, announcement.layers.last + 1};
}

void Reconciler::SetLeadership(bool leads, std::uint64_t term,
                               core::Instant now) {
  if (leads && (!leads_ || term != term_)) {
    settled_ = now + kSettleTime;
    for (auto& [id, known] : upstreams_) {
      known.target.reset();
      known.waiting = false;
      known.asking = false;
      known.counted = false;
    }
  }
  leads_ = leads;
  term_ = term;
}

void Reconciler::SetUpstreams(
    const std::vector<schema::Announcement>& upstreams,
    const std::optional<schema::Engine>& engine, core::Instant now) {
  if (!engine_ && engine && leads_) settled_ = now + kSettleTime;
  engine_ = engine;
  std::set<core::UpstreamId> present;
  for (const schema::Announcement& announcement : upstreams) {
    present.insert(announcement.id);
    const auto [found, inserted] =
        upstreams_.try_emplace(announcement.id, Known{});
    Known& known = found->second;
    const bool reborn =
        !inserted && known.announcement.born != announcement.born;
    if (reborn) known = Known{};
    known.announcement = announcement;
    if (known.target == HeldLayers(announcement)) known.target.reset();
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
  Known& known = found->second;
  known.waiting = false;
  if (!known.target || !engine_) return;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      ++known.orders;
      known.target_until =
          now + LoadTime(known.target->size()) + internal::kReportLag;
      return;
    case OrderOutcome::kMismatch:
      // A report of this moment may still show the state before the one that
      // the order met.
      known.target_until = now + internal::kReportLag;
      return;
    case OrderOutcome::kUnanswered:
      known.target_until = now;
      return;
    case OrderOutcome::kFenced:
    case OrderOutcome::kRefused:
      known.target.reset();
      known.retry = now + internal::kRefusalPause;
      return;
  }
}

void Reconciler::HandleReport(const core::UpstreamId& upstream,
                              const std::optional<Report>& report,
                              core::Instant now) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return;
  Known& known = found->second;
  known.asking = false;
  if (report) known.orders = report->orders;
  if (!report || report->busy) {
    known.target_until = now + internal::kBusyPause;
    return;
  }
  known.target.reset();
  known.announcement.unplaced = report->layers.empty();
  if (!report->layers.empty()) {
    known.announcement.layers = {report->layers.first, report->layers.end - 1};
  }
}

std::vector<Holder> Reconciler::Holders() const {
  std::vector<Holder> holders;
  for (const auto& [id, known] : upstreams_) {
    const schema::Announcement& announcement = known.announcement;
    holders.push_back({id, announcement.data_centre, announcement.accelerator,
                       known.target.value_or(HeldLayers(announcement))});
  }
  return holders;
}

void Reconciler::CountOrders(std::vector<Action>& actions) {
  for (auto& [id, known] : upstreams_) {
    if (std::exchange(known.counted, true)) continue;
    actions.push_back(Inquiry{id, known.announcement.address});
  }
}

void Reconciler::ReviewTargets(core::Instant now,
                               std::vector<Action>& actions) {
  for (auto& [id, known] : upstreams_) {
    const bool overdue = known.target && !known.waiting && !known.asking &&
                         now >= known.target_until;
    if (!overdue) continue;
    known.asking = true;
    actions.push_back(Inquiry{id, known.announcement.address});
  }
}

std::vector<Action> Reconciler::Tick(core::Instant now) {
  std::vector<Action> actions;
  if (!leads_ || !engine_ || engine_->layers == 0) return actions;
  CountOrders(actions);
  if (!settled_ || now < *settled_) return actions;
  ReviewTargets(now, actions);
  for (const Assignment& assignment : Plan(*engine_, Holders())) {
    Known& known = upstreams_.at(assignment.id);
    if (known.waiting || known.asking || now < known.retry) continue;
    const Range held = known.target.value_or(HeldLayers(known.announcement));
    const bool gives_up =
        !held.empty() && (held.first < assignment.layers.first ||
                          held.end > assignment.layers.end);
    known.target = assignment.layers;
    known.waiting = true;
    known.target_until = now + kOrderPatience;
    actions.push_back(Order{assignment.id, known.announcement.address,
                            assignment.layers, term_, known.orders, gives_up});
  }
  return actions;
}

}  // namespace foxquay::placement
