// Requests on which upstreams crash.
#include <algorithm>
#include <utility>

#include "foxquay/quarantine/detector.h"
#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace internal {

constexpr const char* kQuarantined =
    "the request, or a part of its prompt, is in quarantine";

}  // namespace internal

void Relay::SetQuarantines(schema::QuarantineTable table,
                           const core::HostId& self,
                           std::uint64_t incarnation) {
  gate_.SetTable(std::move(table), self, incarnation);
  quarantines_changed_ = true;
}

std::optional<Decision> Relay::RefuseQuarantined(core::RequestId id,
                                                 State& state,
                                                 core::Instant now) {
  const RequestContext& context = state.context;
  const schema::Quarantine* quarantine =
      gate_.Find(context.service->id, context.workspace, context.parts);
  if (quarantine == nullptr || (state.probe && state.sends == 0)) {
    return std::nullopt;
  }
  // A probe may end its upstream, which must not be the last one.
  const bool spare = upstreams_.Count(context.service->id) > 1;
  if (state.sends == 0 && spare && gate_.TakeProbe(*quarantine)) {
    state.probe = true;
    return std::nullopt;
  }
  recorder_.RecordRefusal(*quarantine, now);
  // Without a time to return: the request would meet the same refusal.
  return GiveUp(id, internal::kQuarantined, std::nullopt, now);
}

std::optional<Suspicion> Relay::SuspectCrash(core::RequestId id,
                                             const Loss& loss) const {
  const State& state = requests_.at(id);
  const RequestContext& context = state.context;
  const bool lost =
      loss.kind == LossKind::kCut || loss.kind == LossKind::kUnanswered;
  const bool possible = lost && loss.unfinished && !context.parts.empty() &&
                        !state.hops.empty() && !state.partner;
  if (!possible) return std::nullopt;
  const Hop& hop = SuspectedHop(state, loss);
  // It was expected to end.
  if (upstreams_.Leaves(hop.upstream)) return std::nullopt;
  const bool begun = state.answer_begun && state.fruitless == 0;
  return Suspicion{context.name,      context.service->id,
                   context.workspace, hop.upstream,
                   hop.address,       upstreams_.Born(hop.upstream),
                   context.parts,     begun};
}

const Hop& Relay::SuspectedHop(const State& state, const Loss& loss) {
  const auto fault = std::find_if(
      state.hops.begin(), state.hops.end(),
      [&loss](const Hop& hop) { return hop.address == loss.fault_address; });
  return fault == state.hops.end() ? state.hops.front() : *fault;
}

void Relay::RecordCrash(core::RequestId id, const Suspicion& suspicion,
                        core::Instant now) {
  recorder_.RecordCrash(suspicion.service, suspicion.workspace,
                        suspicion.upstream, suspicion.born, suspicion.parts,
                        suspicion.begun, now);
  const auto found = requests_.find(id);
  if (found != requests_.end()) ++found->second.crashes;
}

bool Relay::ResumesUnchecked(core::RequestId id) const {
  const State& state = requests_.at(id);
  return Resumes(state) && state.crashes + 1 < quarantine::kMinCrashes;
}

bool Relay::MayCrashOthers(const State& state, core::Instant now) const {
  const RequestContext& context = state.context;
  if (context.parts.empty()) return false;
  if (!Resumes(state)) {
    return !recorder_.Trusts(context.service->id, context.parts, now);
  }
  // It may have met upstreams that ended for another reason.
  return state.crashes >= quarantine::kMinCrashes;
}

void Relay::RefuseSent(
    std::vector<std::pair<core::RequestId, Decision>>& decisions,
    core::Instant now) {
  std::vector<std::pair<core::RequestId, const schema::Quarantine*>> covered;
  for (const auto& [id, state] : requests_) {
    if (state.held || state.answer_begun || state.probe) continue;
    const RequestContext& context = state.context;
    const schema::Quarantine* quarantine =
        gate_.Find(context.service->id, context.workspace, context.parts);
    if (quarantine != nullptr) covered.emplace_back(id, quarantine);
  }
  for (const auto& [id, quarantine] : covered) {
    requests_.at(id).may_have_run = true;
    recorder_.RecordRefusal(*quarantine, now);
    decisions.emplace_back(
        id, GiveUp(id, internal::kQuarantined, std::nullopt, now));
  }
}

}  // namespace foxquay::relay
