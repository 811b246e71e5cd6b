#include <map>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {

QueueEntry Engine::State::MakeQueueEntry(const Request& request) const {
  const Submission& submission = request.submission;
  QueueEntry entry;
  entry.request = submission.id;
  entry.workspace = submission.workspace;
  entry.traffic_class = submission.traffic_class;
  entry.deadline = request.stream.terms().deadline;
  if (const Completion* completion = request.completion()) {
    entry.pool = scheduling::PoolId(completion->model.value());
    entry.serving_key = completion->model.value() + '\n' + completion->adapter +
                        '\n' + request.version.value_or("*");
    entry.max_tokens = request.stream.terms().max_tokens;
    entry.tokens_left =
        request.stream.terms().max_tokens -
        static_cast<std::uint32_t>(request.stream.delivered().size());
    entry.prompt_bytes = static_cast<std::uint32_t>(completion->prompt.size());
  } else {
    const auto& call = std::get<ServiceCall>(submission.work);
    entry.pool = scheduling::PoolId("service\n" + call.service.value());
    entry.serving_key = entry.pool.value();
    entry.prompt_bytes = call.body_bytes;
  }
  return entry;
}

void Engine::State::Enqueue(Request& request, bool resumed, core::Instant now) {
  // Until a token has been delivered, the request may switch to any version
  // that the caller permits.
  const Completion* completion = request.completion();
  if (completion != nullptr && request.stream.delivered().empty()) {
    request.version.reset();
    if (!completion->version.empty()) request.version = completion->version;
  }
  QueueEntry entry = MakeQueueEntry(request);
  entry.resumed = resumed;
  queue_.Push(entry, now);
  queue_pass_needed_ = true;
  request.latest_start = core::Instant::max();
  if (request.stream.may_have_run()) return;
  // An idle pool admits a request even if its estimated service time exceeds
  // the time left, since the estimate may be wrong. Such a request must not
  // time out before it can start, so it gets no latest start.
  const core::Instant latest_start =
      entry.deadline - queue_.EstimateServiceTime(entry);
  if (latest_start > now) request.latest_start = latest_start;
  ArmTimer(request);
}

Engine::State::PlanResult Engine::State::FindPlan(const Request& request,
                                                  core::Instant now) {
  const auto widen = [](auto&& found) {
    return std::visit([](auto& value) { return PlanResult(std::move(value)); },
                      found);
  };
  if (const Completion* completion = request.completion()) {
    return FindChain(request, *completion, now);
  }
  const auto& call = std::get<ServiceCall>(request.submission.work);
  auto found = router_.FindService(call.service, request.excluded, now);
  return widen(found);
}

Engine::State::PlanResult Engine::State::FindChain(const Request& request,
                                                   const Completion& completion,
                                                   core::Instant now) {
  routing::Query query{completion.model, completion.adapter, request.version,
                       request.excluded, request.prefixes};
  query.excluded.insert(query.excluded.end(), request.suspects.begin(),
                        request.suspects.end());
  auto found = router_.Find(query, now);
  if (auto* plan = std::get_if<routing::Plan>(&found)) return std::move(*plan);
  routing::NoPlan no_plan = std::get<routing::NoPlan>(std::move(found));
  if (request.suspects.empty() ||
      no_plan.reason == routing::NoPlan::Reason::kBusy) {
    return no_plan;
  }
  // One of the suspects failed, but the others may be needed to cover all
  // layers, so each suspect is excluded in turn.
  for (const core::UpstreamId& suspect : request.suspects) {
    query.excluded = request.excluded;
    query.excluded.push_back(suspect);
    found = router_.Find(query, now);
    if (auto* plan = std::get_if<routing::Plan>(&found)) {
      return std::move(*plan);
    }
  }
  return no_plan;
}

void Engine::State::ProcessQueue(core::Instant now) {
  if (!queue_pass_needed_) return;
  queue_pass_needed_ = false;
  std::optional<PlanResult> found;
  std::vector<std::pair<core::RequestId, routing::NoPlan>> unservable;
  const auto check_readiness = [&](const QueueEntry& entry) {
    const Request& request = requests_.at(entry.request);
    found = FindPlan(request, now);
    const auto* no_plan = std::get_if<routing::NoPlan>(&*found);
    if (no_plan == nullptr) return Readiness::kReady;
    if (no_plan->reason != routing::NoPlan::Reason::kBusy) {
      unservable.emplace_back(entry.request, *no_plan);
      return Readiness::kBlocked;
    }
    const bool restricted =
        !request.excluded.empty() || !request.suspects.empty();
    return restricted ? Readiness::kBlocked : Readiness::kBusy;
  };
  while (queue_.size() > 0) {
    unservable.clear();
    const std::optional<QueueEntry> taken = queue_.Take(check_readiness, now);
    if (taken) {
      Request& request = requests_.at(taken->request);
      std::visit(
          [&](const auto& plan) {
            using Plan = std::decay_t<decltype(plan)>;
            if constexpr (!std::is_same_v<Plan, routing::NoPlan>) {
              Start(request, plan, now);
            }
          },
          *found);
    }
    for (const auto& [id, no_plan] : unservable) {
      Abort(requests_.at(id), no_plan, now);
    }
    if (!taken && unservable.empty()) break;
  }
  queue_pass_needed_ = false;
}

}  // namespace foxquay::dispatch
