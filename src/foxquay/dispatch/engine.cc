#include "foxquay/dispatch/engine.h"

#include <algorithm>
#include <utility>

#include "foxquay/dispatch/state.h"

namespace foxquay::dispatch {

Engine::Engine(EngineOptions options)
    : state_(std::make_unique<State>(std::move(options))) {}
Engine::~Engine() = default;

std::vector<Action> Engine::Handle(const Event& event, core::Instant now) {
  return state_->Handle(event, now);
}

std::optional<core::Instant> Engine::NextDeadline() const {
  return state_->NextDeadline();
}

std::size_t Engine::OpenRequests() const noexcept {
  return state_->OpenRequests();
}

double Engine::FreeCapacity() const noexcept { return state_->FreeCapacity(); }

Engine::State::State(EngineOptions options)
    : options_(std::move(options)),
      queue_(options_.seed),
      router_({options_.data_centre, {}, options_.seed}) {
  queue_.Configure(policy_, options_.host.value());
}

std::vector<Action> Engine::State::Handle(const Event& event,
                                          core::Instant now) {
  actions_.clear();
  CloseExpiredAdmission(now);
  std::visit([&](const auto& e) { On(e, now); }, event);
  FireTimers(now);
  ProcessQueue(now);
  return std::exchange(actions_, {});
}

std::optional<core::Instant> Engine::State::NextDeadline() const {
  if (timers_.empty()) return std::nullopt;
  const core::Instant due = timers_.top().first;
  return std::min(due, admission_until_.value_or(due));
}

void Engine::State::CloseExpiredAdmission(core::Instant now) {
  if (!admission_until_ || now < *admission_until_) return;
  On(AdmissionChanged{false, "the configuration lease of this host has expired",
                      std::nullopt},
     now);
}

void Engine::State::On(const UpstreamsChanged& event,
                       [[maybe_unused]] core::Instant now) {
  router_.Replace(event.upstreams);
  limits_.Configure(policy_, options_.host.value(), router_.upstreams());
  queue_pass_needed_ = true;
}

void Engine::State::On(const PolicyChanged& event,
                       [[maybe_unused]] core::Instant now) {
  policy_.Replace(event);
  limits_.Configure(policy_, options_.host.value(), router_.upstreams());
  queue_.Configure(policy_, options_.host.value());
  queue_pass_needed_ = true;
}

void Engine::State::On(const AdmissionChanged& event, core::Instant now) {
  admission_open_ = event.open;
  closed_reason_ = event.reason;
  admission_until_ = event.open ? event.until : std::nullopt;
  if (admission_open_) return;
  // Requests that have not started are refused, since they would start under
  // settings that may be outdated.
  std::vector<core::RequestId> not_started;
  for (const auto& [id, request] : requests_) {
    if (!request.stream.may_have_run()) not_started.push_back(id);
  }
  std::sort(not_started.begin(), not_started.end());
  for (const core::RequestId id : not_started) {
    Request& request = requests_.at(id);
    Abort(request, closed_reason_,
          queue_.RetryAfter(MakeQueueEntry(request).pool), now);
  }
}

void Engine::State::On([[maybe_unused]] const Tick& event,
                       [[maybe_unused]] core::Instant now) {}

void Engine::State::ArmTimer(Request& request) {
  core::Instant due = request.stream.terms().deadline;
  if (request.claim == ClaimState::kRequested) {
    due = std::min(due, request.claim_deadline);
  }
  due = std::min(due, request.stream.token_deadline().value_or(due));
  if (request.stream.phase() == stream::Phase::kWaiting) {
    due = std::min(due, request.latest_start);
  }
  if (due >= request.timer_due) return;
  request.timer_due = due;
  timers_.emplace(due, request.submission.id);
}

void Engine::State::FireTimers(core::Instant now) {
  while (!timers_.empty() && timers_.top().first <= now) {
    const auto [time, id] = timers_.top();
    timers_.pop();
    Request* request = FindRequest(id);
    if (request == nullptr || request->timer_due != time) continue;
    request->timer_due = core::Instant::max();
    OnTimer(*request, now);
    request = FindRequest(id);
    if (request != nullptr) ArmTimer(*request);
  }
}

Request* Engine::State::FindRequest(core::RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

PolicyScope Engine::State::ScopeOf(const Submission& submission) const {
  PolicyScope scope;
  scope.workspace = submission.workspace.value();
  if (const auto* completion = std::get_if<Completion>(&submission.work)) {
    scope.model = completion->model.value();
  }
  scope.data_centre = options_.data_centre.value();
  scope.host = options_.host.value();
  return scope;
}

}  // namespace foxquay::dispatch
