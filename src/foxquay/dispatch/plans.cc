#include <map>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {

Waiting Engine::State::Describe(const Request& request) const {
  const Submission& submission = request.submission;
  Waiting waiting;
  waiting.request = submission.id;
  waiting.workspace = submission.workspace;
  waiting.traffic_class = submission.traffic_class;
  waiting.deadline = request.stream.terms().deadline;
  if (const Completion* completion = request.completion()) {
    waiting.pool = scheduling::PoolId(completion->model.value());
    waiting.offer = completion->model.value() + '\n' + completion->adapter +
                    '\n' + request.version.value_or("*");
    waiting.max_tokens = request.stream.terms().max_tokens;
    waiting.tokens_left =
        request.stream.terms().max_tokens -
        static_cast<std::uint32_t>(request.stream.delivered().size());
    waiting.prompt_bytes =
        static_cast<std::uint32_t>(completion->prompt.size());
  } else {
    const auto& call = std::get<ServiceCall>(submission.work);
    waiting.pool = scheduling::PoolId("service\n" + call.service.value());
    waiting.offer = waiting.pool.value();
    waiting.prompt_bytes = call.body_bytes;
  }
  return waiting;
}

void Engine::State::Enqueue(Request& request, bool resumed, core::Instant now) {
  // Until a token is delivered, any version that the caller permits may serve.
  const Completion* completion = request.completion();
  if (completion != nullptr && request.stream.delivered().empty()) {
    request.version.reset();
    if (!completion->version.empty()) request.version = completion->version;
  }
  Waiting waiting = Describe(request);
  waiting.resumed = resumed;
  queue_.Push(waiting, now);
  pump_needed_ = true;
  request.start_by = core::Instant::max();
  if (request.stream.may_have_run()) return;
  // An idle pool admits a request whose estimate exceeds its time, since the
  // estimate may be wrong; it must not be given up before it can start.
  const core::Instant start_by =
      waiting.deadline - queue_.EstimateService(waiting);
  if (start_by > now) request.start_by = start_by;
  Arm(request);
}

Engine::State::FoundOrNot Engine::State::Find(const Request& request,
                                              core::Instant now) {
  const auto widen = [](auto&& found) {
    return std::visit([](auto& value) { return FoundOrNot(std::move(value)); },
                      found);
  };
  if (const Completion* completion = request.completion()) {
    return FindChain(request, *completion, now);
  }
  const auto& call = std::get<ServiceCall>(request.submission.work);
  auto found = router_.FindService(call.service, request.excluded, now);
  return widen(found);
}

Engine::State::FoundOrNot Engine::State::FindChain(const Request& request,
                                                   const Completion& completion,
                                                   core::Instant now) {
  routing::Query query{completion.model, completion.adapter, request.version,
                       request.excluded, request.prefixes};
  query.excluded.insert(query.excluded.end(), request.suspected.begin(),
                        request.suspected.end());
  auto found = router_.Find(query, now);
  if (auto* plan = std::get_if<routing::Plan>(&found)) return std::move(*plan);
  routing::NoPlan none = std::get<routing::NoPlan>(std::move(found));
  if (request.suspected.empty() ||
      none.reason == routing::NoPlan::Reason::kBusy) {
    return none;
  }
  // One of the suspected stages failed; a chain without it may need others of
  // them, so each is left out in turn.
  for (const core::UpstreamId& suspect : request.suspected) {
    query.excluded = request.excluded;
    query.excluded.push_back(suspect);
    found = router_.Find(query, now);
    if (auto* plan = std::get_if<routing::Plan>(&found)) {
      return std::move(*plan);
    }
  }
  return none;
}

void Engine::State::Pump(core::Instant now) {
  if (!pump_needed_) return;
  pump_needed_ = false;
  std::optional<FoundOrNot> found;
  std::vector<std::pair<core::RequestId, routing::NoPlan>> hopeless;
  const auto judge = [&](const Waiting& waiting) {
    const Request& request = requests_.at(waiting.request);
    found = Find(request, now);
    const auto* none = std::get_if<routing::NoPlan>(&*found);
    if (none == nullptr) return Readiness::kReady;
    if (none->reason != routing::NoPlan::Reason::kBusy) {
      hopeless.emplace_back(waiting.request, *none);
      return Readiness::kBlocked;
    }
    const bool restricted =
        !request.excluded.empty() || !request.suspected.empty();
    return restricted ? Readiness::kBlocked : Readiness::kBusy;
  };
  while (queue_.size() > 0) {
    hopeless.clear();
    const std::optional<Waiting> taken = queue_.Take(judge, now);
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
    for (const auto& [id, none] : hopeless) {
      GiveUp(requests_.at(id), none, now);
    }
    if (!taken && hopeless.empty()) break;
  }
  pump_needed_ = false;
}

}  // namespace foxquay::dispatch
