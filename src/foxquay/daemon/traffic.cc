#include "foxquay/daemon/traffic.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/performer.h"

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::milliseconds kTimerInterval{250};
constexpr std::chrono::seconds kReaderPatience{10};

/// Returns which of the connections were closed by their peers.
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

Traffic::Traffic(const dispatch::EngineOptions& options, std::string name,
                 const ControlHooks& hooks)
    : name_(std::move(name)),
      host_(options.host),
      hooks_(hooks),
      engine_(options),
      workers_(std::make_unique<Workers>()) {
  dispatch::PolicyChanged policy;
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    policy.defaults.push_back(spec.initial);
  }
  SetPolicy(std::move(policy));
  SetAdmission({});
  timer_ = std::thread([this] { KeepTime(); });
}

Traffic::~Traffic() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    legs_.clear();  // ends running legs at their next token
  }
  timer_wake_.notify_all();
  timer_.join();
  workers_.reset();
}

Ticket Traffic::Submit(Order&& order) {
  Pending pending;
  Ticket ticket;
  {
    const std::lock_guard lock(mutex_);
    ticket.id = core::RequestId(next_request_++);
    order.submission.id = ticket.id;
    Entry& entry = entries_[ticket.id];
    entry.exchange = TakeExchange();
    entry.workspace = order.submission.workspace;
    entry.digest = std::move(order.digest);
    entry.service = std::move(order.service);
    entry.connection = order.connection;
    entry.traffic_class = order.submission.traffic_class;
    entry.arrived = Now();
    entry.claimed =
        order.submission.no_repeat && !order.submission.idempotency_key.empty();
    ticket.exchange = entry.exchange;
    Apply(dispatch::Arrived{std::move(order.submission)}, pending);
  }
  Execute(std::move(pending));
  return ticket;
}

void Traffic::Close(core::RequestId id) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(id);
    if (found == entries_.end()) return;
    if (!found->second.finished) Apply(dispatch::CallerGone{id}, pending);
    Exchange* exchange = found->second.exchange;
    entries_.erase(found);
    exchange->Reset();
    idle_exchanges_.push_back(exchange);
  }
  Execute(std::move(pending));
}

void Traffic::DropDeadCallers() {
  std::vector<pollfd> descriptors;
  std::vector<core::RequestId> ids;
  std::vector<core::RequestId> gone;
  const core::Instant oldest = Now() - internal::kReaderPatience;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, entry] : entries_) {
      if (entry.exchange->StalledSince(oldest)) gone.push_back(id);
      if (entry.connection.descriptor() < 0) continue;
      descriptors.push_back({entry.connection.descriptor(), POLLRDHUP, 0});
      ids.push_back(id);
    }
  }
  const std::vector<bool> closed = internal::ClosedByPeer(descriptors);
  for (std::size_t index = 0; index < ids.size(); ++index) {
    if (closed[index]) gone.push_back(ids[index]);
  }
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    for (const core::RequestId id : gone) {
      const auto found = entries_.find(id);
      if (found == entries_.end()) continue;
      found->second.exchange->Abandon();
      pending.wakes.push_back(found->second.exchange);
      pending.aborts.push_back(found->second.connection);
      if (!found->second.finished) Apply(dispatch::CallerGone{id}, pending);
    }
  }
  Execute(std::move(pending));
}

void Traffic::SetUpstreams(std::vector<schema::Announcement> upstreams) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    for (const schema::Announcement& upstream : upstreams) {
      if (!upstream.model.empty()) models_.insert(upstream.model);
      if (!upstream.service.empty()) services_.insert(upstream.service);
    }
    Apply(dispatch::UpstreamsChanged{std::move(upstreams)}, pending);
  }
  Execute(std::move(pending));
}

void Traffic::SetPolicy(dispatch::PolicyChanged policy) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    policy_ = policy;
    Apply(std::move(policy), pending);
  }
  Execute(std::move(pending));
}

void Traffic::SetAdmission(dispatch::AdmissionChanged admission) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    Apply(std::move(admission), pending);
  }
  Execute(std::move(pending));
}

void Traffic::DecideClaim(dispatch::ClaimDecided decision) {
  Handle(std::move(decision));
}

void Traffic::CloseAdmission(const std::string& reason) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    Apply(dispatch::AdmissionChanged{false, reason, std::nullopt}, pending);
  }
  Execute(std::move(pending));
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

bool Traffic::Knows(const core::ModelId& model) const {
  const std::lock_guard lock(mutex_);
  return models_.contains(model);
}

bool Traffic::Knows(const core::ServiceId& service) const {
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
  names.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) names.push_back(NameOf(id));
  // A claimed call runs to its end after its caller has gone.
  for (const auto& [id, leg] : legs_) {
    if (!entries_.contains(leg.request)) names.push_back(NameOf(leg.request));
  }
  return names;
}

void Traffic::Handle(dispatch::Event event) {
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    Apply(std::move(event), pending);
  }
  Execute(std::move(pending));
}

/// Precondition: the engine's mutex is held.
void Traffic::Apply(dispatch::Event event, Pending& pending) {
  std::vector<dispatch::Event> following;
  Performer perform(*this, following, pending);
  std::size_t handled = 0;
  while (true) {
    for (dispatch::Action& action : engine_.Handle(event, Now())) {
      std::visit(perform, action);
    }
    if (handled == following.size()) break;
    event = std::move(following[handled++]);
  }
  const auto deadline = engine_.NextDeadline();
  if (deadline && *deadline < timer_wakes_) timer_wake_.notify_one();
}

void Traffic::Execute(Pending&& pending) {
  for (Exchange* exchange : pending.wakes) exchange->Wake();
  for (std::function<void()>& hook : pending.hooks) hook();
  for (std::function<void()>& job : pending.jobs) workers_->Run(std::move(job));
  for (const http::Connection& connection : pending.aborts) connection.Abort();
}

/// Precondition: the engine's mutex is held.
Exchange* Traffic::TakeExchange() {
  if (idle_exchanges_.empty()) return &exchanges_.emplace_back();
  Exchange* exchange = idle_exchanges_.back();
  idle_exchanges_.pop_back();
  return exchange;
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
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    if (legs_.erase(leg.leg) == 0) return;
    Apply(dispatch::LegEnded{leg.leg, result.end, result.culprit}, pending);
  }
  Execute(std::move(pending));
}

bool Traffic::AcceptToken(core::LegId leg, http::TokenLine&& line) {
  Pending pending;
  bool wanted = false;
  {
    const std::lock_guard lock(mutex_);
    if (!legs_.contains(leg)) return false;
    Apply(dispatch::LegToken{leg, line.epoch, line.index, std::move(line.text)},
          pending);
    wanted = legs_.contains(leg);
  }
  Execute(std::move(pending));
  return wanted;
}

void Traffic::RunCall(core::LegId leg, core::RequestId request,
                      const http::ServiceSend& call, bool claimed) {
  http::ServiceResult result = http::CallService(call);
  Pending pending;
  {
    const std::lock_guard lock(mutex_);
    if (legs_.erase(leg) == 0) return;
    if (result.reply) {
      const std::uint32_t status = result.reply->status;
      std::string body = claimed ? result.reply->body : std::string();
      const auto found = entries_.find(request);
      if (found != entries_.end()) {
        found->second.exchange->Keep(std::move(*result.reply));
      }
      Apply(dispatch::ServiceAnswered{leg, status, std::move(body)}, pending);
    } else {
      Apply(dispatch::ServiceFailed{leg, result.sent}, pending);
    }
  }
  Execute(std::move(pending));
}

void Traffic::KeepTime() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const core::Instant now = Now();
    timer_wakes_ = now + internal::kTimerInterval;
    const auto deadline = engine_.NextDeadline();
    if (deadline) timer_wakes_ = std::min(timer_wakes_, *deadline);
    if (timer_wakes_ > now) timer_wake_.wait_until(lock, timer_wakes_);
    if (stopping_) return;
    const auto due = engine_.NextDeadline();
    if (!due || *due > Now()) continue;
    Pending pending;
    Apply(dispatch::Tick{}, pending);
    lock.unlock();
    Execute(std::move(pending));
    lock.lock();
  }
}

std::string Traffic::NameOf(core::RequestId id) const {
  return name_ + "-" + std::to_string(id.value());
}

}  // namespace foxquay::daemon
