#include "foxquay/daemon/traffic.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "foxquay/daemon/action_executor.h"
#include "foxquay/daemon/clock.h"

namespace foxquay::daemon {
namespace internal {

/// Maximum time between two checks of the engine's next deadline.
constexpr std::chrono::milliseconds kTimerInterval{250};

/// Time after which a write to a caller that does not progress ends its
/// request.
constexpr std::chrono::seconds kSlowReaderTimeout{10};

/// Returns for each descriptor whether the peer has closed its connection.
std::vector<bool> ClosedByPeer(std::vector<pollfd>& descriptors) {
  std::vector<bool> closed(descriptors.size(), false);
  if (poll(descriptors.data(), descriptors.size(), 0) <= 0) return closed;
  for (std::size_t index = 0; index < descriptors.size(); ++index) {
    constexpr int kClosed = POLLRDHUP | POLLHUP | POLLERR;
    closed[index] = (descriptors[index].revents & kClosed) != 0;
  }
  return closed;
}

}  // namespace internal

Traffic::Traffic(const dispatch::EngineOptions& options,
                 std::string request_prefix, const ControlHooks& hooks)
    : request_prefix_(std::move(request_prefix)),
      host_(options.host),
      hooks_(hooks),
      engine_(options),
      pool_(std::make_unique<WorkerPool>()) {
  dispatch::PolicyChanged policy;
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    policy.defaults.push_back(spec.initial);
  }
  SetPolicy(std::move(policy));
  SetAdmission({});
  timer_ = std::thread([this] { RunTimer(); });
}

Traffic::~Traffic() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    legs_.clear();  // running legs end at their next token
  }
  timer_condition_.notify_all();
  timer_.join();
  pool_.reset();
}

RequestHandle Traffic::Submit(IncomingRequest&& request) {
  DeferredActions deferred;
  RequestHandle handle;
  {
    const std::lock_guard lock(mutex_);
    handle.id = core::RequestId(next_request_++);
    request.submission.id = handle.id;
    RequestState& state = requests_[handle.id];
    state.channel = AcquireChannel();
    state.workspace = request.submission.workspace;
    state.digest = std::move(request.digest);
    state.service = std::move(request.service);
    state.connection = request.connection;
    state.traffic_class = request.submission.traffic_class;
    state.arrived = Now();
    state.claimed = request.submission.no_repeat &&
                    !request.submission.idempotency_key.empty();
    handle.channel = state.channel;
    Apply(dispatch::Arrived{std::move(request.submission)}, deferred);
  }
  Execute(std::move(deferred));
  return handle;
}

void Traffic::Close(core::RequestId id) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (!found->second.finished) Apply(dispatch::CallerGone{id}, deferred);
    ResultChannel* channel = found->second.channel;
    requests_.erase(found);
    channel->Reset();
    idle_channels_.push_back(channel);
  }
  Execute(std::move(deferred));
}

void Traffic::CancelAbandonedRequests() {
  std::vector<pollfd> descriptors;
  std::vector<core::RequestId> ids;
  std::vector<core::RequestId> abandoned;
  const core::Instant stalled_before = Now() - internal::kSlowReaderTimeout;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, state] : requests_) {
      if (state.channel->StalledSince(stalled_before)) abandoned.push_back(id);
      if (state.connection.descriptor() < 0) continue;
      descriptors.push_back({state.connection.descriptor(), POLLRDHUP, 0});
      ids.push_back(id);
    }
  }
  const std::vector<bool> closed = internal::ClosedByPeer(descriptors);
  for (std::size_t index = 0; index < ids.size(); ++index) {
    if (closed[index]) abandoned.push_back(ids[index]);
  }
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    for (const core::RequestId id : abandoned) {
      const auto found = requests_.find(id);
      if (found == requests_.end()) continue;
      found->second.channel->Abandon();
      deferred.wakeups.push_back(found->second.channel);
      deferred.aborts.push_back(found->second.connection);
      if (!found->second.finished) Apply(dispatch::CallerGone{id}, deferred);
    }
  }
  Execute(std::move(deferred));
}

void Traffic::SetUpstreams(std::vector<schema::Announcement> upstreams) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    for (const schema::Announcement& upstream : upstreams) {
      if (!upstream.model.empty()) models_.insert(upstream.model);
      if (!upstream.service.empty()) services_.insert(upstream.service);
    }
    Apply(dispatch::UpstreamsChanged{std::move(upstreams)}, deferred);
  }
  Execute(std::move(deferred));
}

void Traffic::SetPolicy(dispatch::PolicyChanged policy) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    policy_ = policy;
    Apply(std::move(policy), deferred);
  }
  Execute(std::move(deferred));
}

void Traffic::SetAdmission(dispatch::AdmissionChanged admission) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    Apply(std::move(admission), deferred);
  }
  Execute(std::move(deferred));
}

void Traffic::DecideClaim(dispatch::ClaimDecided decision) {
  HandleEvent(std::move(decision));
}

void Traffic::CloseAdmission(const std::string& reason) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    Apply(dispatch::AdmissionChanged{false, reason, std::nullopt}, deferred);
  }
  Execute(std::move(deferred));
}

std::int64_t Traffic::Policy(schema::PolicyKey key) const {
  const std::lock_guard lock(mutex_);
  for (const dispatch::Override& item : policy_.overrides) {
    if (item.key == key && item.scope == dispatch::Scope::kHost &&
        item.object == host_.value()) {
      return item.value;
    }
  }
  return policy_.defaults.at(static_cast<std::size_t>(key));
}

bool Traffic::WasAnnounced(const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  return models_.contains(model);
}

bool Traffic::WasAnnounced(const core::ServiceId& service) const {
  const std::lock_guard lock(mutex_);
  return services_.contains(service);
}

double Traffic::FreeCapacity() const {
  const std::lock_guard lock(mutex_);
  return engine_.FreeCapacity();
}

std::vector<std::string> Traffic::OpenRequests() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names;
  names.reserve(requests_.size());
  for (const auto& [id, state] : requests_) names.push_back(NameOf(id));
  // A claimed call runs to its end even after its caller has disconnected.
  for (const auto& [id, leg] : legs_) {
    if (!requests_.contains(leg.request)) names.push_back(NameOf(leg.request));
  }
  return names;
}

void Traffic::HandleEvent(dispatch::Event event) {
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    Apply(std::move(event), deferred);
  }
  Execute(std::move(deferred));
}

/// Precondition: the engine's mutex is held.
void Traffic::Apply(dispatch::Event event, DeferredActions& deferred) {
  std::vector<dispatch::Event> follow_up_events;
  ActionExecutor executor(*this, follow_up_events, deferred);
  std::size_t handled = 0;
  while (true) {
    for (dispatch::Action& action : engine_.Handle(event, Now())) {
      std::visit(executor, action);
    }
    if (handled == follow_up_events.size()) break;
    event = std::move(follow_up_events[handled++]);
  }
  const auto deadline = engine_.NextDeadline();
  if (deadline && *deadline < timer_wakeup_) timer_condition_.notify_one();
}

void Traffic::Execute(DeferredActions&& deferred) {
  for (ResultChannel* channel : deferred.wakeups) channel->Wake();
  for (std::function<void()>& hook : deferred.hooks) hook();
  for (std::function<void()>& job : deferred.jobs) pool_->Run(std::move(job));
  for (const http::Connection& connection : deferred.aborts) connection.Abort();
}

/// Precondition: the engine's mutex is held.
ResultChannel* Traffic::AcquireChannel() {
  if (idle_channels_.empty()) return &channels_.emplace_back();
  ResultChannel* channel = idle_channels_.back();
  idle_channels_.pop_back();
  return channel;
}

void Traffic::RunLeg(const dispatch::StartLeg& leg, const std::string& name) {
  {
    const std::lock_guard lock(mutex_);
    if (!legs_.contains(leg.leg)) return;
  }
  const http::LegResult result =
      http::RunLeg(leg, name, [this, &leg](http::TokenLine&& line) {
        return AcceptToken(leg.leg, std::move(line));
      });
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    if (legs_.erase(leg.leg) == 0) return;
    Apply(dispatch::LegEnded{leg.leg, result.end, result.culprit}, deferred);
  }
  Execute(std::move(deferred));
}

bool Traffic::AcceptToken(core::LegId leg, http::TokenLine&& line) {
  DeferredActions deferred;
  bool wanted = false;
  {
    const std::lock_guard lock(mutex_);
    if (!legs_.contains(leg)) return false;
    Apply(dispatch::LegToken{leg, line.epoch, line.index, std::move(line.text)},
          deferred);
    wanted = legs_.contains(leg);
  }
  Execute(std::move(deferred));
  return wanted;
}

void Traffic::RunCall(core::LegId leg, core::RequestId request,
                      const http::ServiceSend& call, bool claimed) {
  http::ServiceResult result = http::CallService(call);
  DeferredActions deferred;
  {
    const std::lock_guard lock(mutex_);
    if (legs_.erase(leg) == 0) return;
    if (result.reply) {
      const std::uint32_t status = result.reply->status;
      std::string body = claimed ? result.reply->body : std::string();
      const auto found = requests_.find(request);
      if (found != requests_.end()) {
        found->second.channel->SetReply(std::move(*result.reply));
      }
      Apply(dispatch::ServiceAnswered{leg, status, std::move(body)}, deferred);
    } else {
      Apply(dispatch::ServiceFailed{leg, result.sent}, deferred);
    }
  }
  Execute(std::move(deferred));
}

void Traffic::RunTimer() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const core::Instant now = Now();
    timer_wakeup_ = now + internal::kTimerInterval;
    const auto deadline = engine_.NextDeadline();
    if (deadline) timer_wakeup_ = std::min(timer_wakeup_, *deadline);
    if (timer_wakeup_ > now) timer_condition_.wait_until(lock, timer_wakeup_);
    if (stopping_) return;
    const auto due = engine_.NextDeadline();
    if (!due || *due > Now()) continue;
    DeferredActions deferred;
    Apply(dispatch::Tick{}, deferred);
    lock.unlock();
    Execute(std::move(deferred));
    lock.lock();
  }
}

std::string Traffic::NameOf(core::RequestId id) const {
  return request_prefix_ + "-" + std::to_string(id.value());
}

}  // namespace foxquay::daemon
