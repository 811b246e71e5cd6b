// Requests that this host cannot send to an upstream and passes to another
// host.
#include <algorithm>
#include <utility>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace internal {

/// Partners to which one request is passed before it is given up. Others take
/// the place of one that has just ended or lost its own path.
constexpr std::size_t kMaxPartnersTried = 2;

/// Retry-After of a request that only another host may serve: the caller can go
/// there at once.
constexpr core::Duration kOutdatedRetryAfter = std::chrono::milliseconds(50);

}  // namespace internal

void Relay::SetUpstreams(const std::vector<schema::Announcement>& announcements,
                         core::Instant now) {
  std::map<core::ServiceId, std::vector<core::UpstreamId>> by_service;
  for (const schema::Announcement& announcement : announcements) {
    by_service[announcement.service].push_back(announcement.id);
  }
  reachability_.Set(by_service);
  upstreams_.Set(announcements, now);
}

void Relay::RecordInquiry(const core::UpstreamId& upstream, bool reached,
                          core::Instant now) {
  const auto service = upstreams_.FindService(upstream);
  if (!service) return;
  const bool former = reachability_.CutOff(*service);
  if (reached) {
    reachability_.RecordReached(*service, upstream, now);
  } else {
    reachability_.RecordUnreachable(*service, upstream, now);
  }
  const bool cut_off = reachability_.CutOff(*service);
  if (cut_off == former) return;
  path_changes_.push_back({*service, cut_off});
  // During a cut, failures say nothing about the upstreams.
  if (!cut_off) upstreams_.ForgetFailures(*service);
}

void Relay::RecordSilence(core::RequestId id, core::Instant now) {
  const State& state = requests_.at(id);
  if (state.partner || state.hops.empty()) return;
  reachability_.RecordSilence(state.context.service->id,
                              state.hops.front().upstream, now);
}

std::vector<Hop> Relay::DueInquiries(core::Instant now) {
  std::vector<Hop> due;
  for (const core::UpstreamId& upstream : reachability_.DueInquiries(now)) {
    const auto address = upstreams_.FindAddress(upstream);
    if (address) due.push_back({upstream, *address, {}});
  }
  return due;
}

std::vector<PathChange> Relay::TakePathChanges() {
  return std::exchange(path_changes_, {});
}

bool Relay::ViaPartner(core::RequestId id) const {
  return requests_.at(id).partner.has_value();
}

bool Relay::LacksPath(const State& state, core::Instant now) const {
  const core::ServiceId& service = state.context.service->id;
  return reachability_.CutOff(service) || upstreams_.AllFailed(service, now);
}

std::optional<Decision> Relay::AvoidOutdated(core::RequestId id, State& state,
                                             core::Instant now) {
  const bool outdated = state.context.outdated;
  if (!outdated && !outdated_) return std::nullopt;
  if (const auto send = PassToPartner(state, now)) return *send;
  if (outdated && !Resumes(state)) {
    return GiveUp(id, "the configuration may be outdated",
                  internal::kOutdatedRetryAfter, now);
  }
  return HoldOrGiveUp(id, state, "the upstreams may be outdated", now);
}

std::optional<Send> Relay::PassToPartner(State& state, core::Instant now) {
  if (state.context.relayed) return std::nullopt;
  const bool possible =
      state.partners_tried.size() < internal::kMaxPartnersTried;
  const auto partner =
      possible ? partners_.Choose(state.partners_tried, now) : std::nullopt;
  if (!partner) {
    if (Resumes(state) && !partners_.empty()) PauseResume(state, now);
    return std::nullopt;
  }
  if (state.held) --held_;
  state.held = false;
  state.partner = partner->host;
  state.partners_tried.push_back(partner->host);
  state.hops = {
      {core::UpstreamId(partner->host.value()), partner->address, {}}};
  partners_.Begin(partner->host);
  Send send{state.hops, state.sends + state.unsent + 1, false};
  send.to_partner = true;
  send.prior_sends = state.sends;
  return send;
}

Decision Relay::HandlePartnerLoss(core::RequestId id, const Loss& loss,
                                  core::Instant now) {
  State& state = requests_.at(id);
  partners_.RecordFailure(*state.partner, now);
  Release(state);
  if (Resumes(state)) DelayResume(state, now);
  if (loss.kind == LossKind::kNotSent) {
    ++state.unsent;
  } else {
    ++state.sends;
    state.may_have_run = true;
    if (!MayRetry(state, loss, now)) {
      return GiveUp(id, std::string("send to a host ended: ") + Name(loss.kind),
                    std::nullopt, now);
    }
    state.awaits_budget = true;
  }
  return Route(id, state, now);
}

}  // namespace foxquay::relay
