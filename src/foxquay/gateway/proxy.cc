#include "foxquay/gateway/proxy.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <cstdio>
#include <utility>
#include <variant>

#include "foxquay/log/log.h"

namespace foxquay::gateway {
namespace internal {

/// Part of a caller's patience between two events after which a silent stream
/// goes on elsewhere; the rest is left for the new prompt.
constexpr double kStallPart = 0.6;

/// Shortest patience of callers between two events.
constexpr core::Duration kMinPatience = std::chrono::seconds(2);

/// Interval at which connections are swept.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(100);

/// Silence of a stream, between events or before the first, after which its
/// upstreams are doubted: several times what a step or a prompt takes, and
/// well below the silence after which it goes on elsewhere.
constexpr core::Duration kQuietBetweenEvents = std::chrono::milliseconds(250);
constexpr core::Duration kQuietBeforeEvents = std::chrono::milliseconds(500);

/// Pause before the same upstream is doubted again.
constexpr core::Duration kDoubtPause = std::chrono::milliseconds(1000);

/// Time to return to another host.
constexpr core::Duration kElsewhereReturn = std::chrono::milliseconds(50);

/// Time for which a request that came before the configuration is confirmed may
/// wait for it, e.g. after a restart of all hosts, and below the two seconds in
/// which callers give a silent host up. Callers whose connection was lost with
/// the former process have used up their retry.
constexpr core::Duration kEarlyWait = std::chrono::milliseconds(1600);

/// Requests that wait for the configuration on one host.
constexpr std::size_t kMaxEarly = 256;

/// Time to return while this host may not act on its configuration: that of an
/// election and the confirmation after it, with a restart before them.
constexpr core::Duration kNoLeaseReturn = std::chrono::milliseconds(2000);

core::Duration StallOf(const schema::Route& route) {
  const core::Duration patience =
      std::max({kMinPatience, route.target_latency * 4, route.target_gap * 8});
  return core::Part(patience, kStallPart);
}

double Milliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Seconds(core::Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(duration).count());
  return text.data();
}

std::string Describe(const std::vector<relay::Hop>& hops) {
  std::string text;
  for (const relay::Hop& hop : hops) {
    if (!text.empty()) text += ',';
    text += hop.address;
    if (hop.layers.empty()) continue;
    text += '/' + std::to_string(hop.layers.first) + '-' +
            std::to_string(hop.layers.end);
  }
  return text;
}

bool IsEventStream(const net::Fields& fields) {
  const auto type = fields[boost::beast::http::field::content_type];
  return type.substr(0, 17) == "text/event-stream";
}

relay::LossKind KindOf(net::Failure failure) {
  switch (failure) {
    case net::Failure::kNotSent:
      return relay::LossKind::kNotSent;
    case net::Failure::kLost:
    case net::Failure::kMalformed:
      return relay::LossKind::kUnanswered;
    case net::Failure::kCut:
      return relay::LossKind::kCut;
  }
  return relay::LossKind::kUnanswered;
}

}  // namespace internal

Proxy::Proxy(boost::asio::io_context& context, const Dialect& dialect,
             const relay::BudgetOptions& budget, metrics::Registry& registry,
             std::uint64_t seed, Doubt doubt)
    : dialect_(dialect),
      server_(context,
              {[this](net::ExchangeId exchange, net::Request&& request) {
                 HandleRequest(exchange, std::move(request));
               },
               [this](net::ExchangeId exchange) { HandleGone(exchange); }}),
      client_(context,
              {[this](net::CallId call, unsigned status, net::Fields&& fields) {
                 HandleHead(call, status, std::move(fields));
               },
               [this](net::CallId call, const std::string& data) {
                 HandleData(call, data);
               },
               [this](net::CallId call) { HandleEnd(call); },
               [this](net::CallId call, net::Failure failure) {
                 HandleFailed(call, failure);
               }}),
      relay_(budget, seed),
      registry_(registry),
      doubt_(std::move(doubt)),
      random_(seed) {}

std::error_code Proxy::Listen(const std::string& address) {
  return server_.Listen(address);
}

void Proxy::SetFleet(std::shared_ptr<const fleet::Table> table) {
  const schema::CallerLimits& limits = table->fleet().limits;
  net::ServerLimits bounds;
  if (limits.max_header_bytes > 0) {
    bounds.max_header_bytes = limits.max_header_bytes;
  }
  if (limits.max_body_bytes > 0) bounds.max_body_bytes = limits.max_body_bytes;
  if (limits.header_timeout > core::Duration::zero()) {
    bounds.header_timeout = limits.header_timeout;
  }
  if (limits.idle_timeout > core::Duration::zero()) {
    bounds.idle_timeout = limits.idle_timeout;
  }
  server_.SetLimits(bounds);
  table_ = std::move(table);
}

void Proxy::SetUpstreams(const std::vector<schema::Announcement>& upstreams) {
  relay_.upstreams().Set(upstreams, net::SteadyNow());
}

void Proxy::SetAdmission(std::optional<core::Instant> until) {
  admitted_until_ = until;
}

void Proxy::SetHosts(std::size_t hosts) {
  relay_.SetHosts(hosts, net::SteadyNow());
}

void Proxy::StartDrain() {
  draining_ = true;
  server_.StartDrain();
}

void Proxy::StopAccepting() {
  stopping_ = true;
  server_.StopAccepting();
}

bool Proxy::ready() const { return !draining_ && admitted(); }

bool Proxy::admitted() const {
  return table_ != nullptr && admitted_until_ &&
         net::LeaseNow() < *admitted_until_;
}

void Proxy::HandleRequest(net::ExchangeId exchange, net::Request&& request) {
  CallerFacts facts = dialect_.read_caller(request);
  if (admitted()) {
    Decide(exchange, std::move(request), std::move(facts));
    return;
  }
  const core::Duration wait =
      std::min(internal::kEarlyWait,
               facts.patience.value_or(internal::kEarlyWait * 4) / 4);
  if (early_.size() >= internal::kMaxEarly) {
    Reject(exchange, facts, 503, internal::kNoLeaseReturn,
           "configuration is not confirmed");
    return;
  }
  log::Write(log::Level::kInfo, "request_early",
             {{"request", facts.id}, {"waiting", early_.size()}});
  early_[exchange] = {std::move(request), std::move(facts),
                      net::SteadyNow() + wait};
}

void Proxy::ReviewEarly(core::Instant now) {
  const bool open = admitted();
  std::map<net::ExchangeId, Early> waiting;
  for (auto& [exchange, early] : std::exchange(early_, {})) {
    if (open) {
      Decide(exchange, std::move(early.request), std::move(early.facts));
    } else if (now >= early.until) {
      Reject(exchange, early.facts, 503, internal::kNoLeaseReturn,
             "configuration is not confirmed");
    } else {
      waiting.emplace(exchange, std::move(early));
    }
  }
  early_.merge(waiting);
}

void Proxy::Decide(net::ExchangeId exchange, net::Request&& request,
                   CallerFacts facts) {
  if (stopping_) {
    Reject(exchange, facts, 503, internal::kElsewhereReturn, "host stops");
    return;
  }
  const auto host = request.fields[boost::beast::http::field::host];
  const schema::Route* route =
      table_->FindRoute({host.data(), host.size()}, request.target);
  if (route == nullptr) {
    Reject(exchange, facts, 404, std::nullopt, "no route");
    return;
  }
  core::WorkspaceId workspace;
  std::uint32_t rank = route->priority;
  if (table_->NeedsKey() && !route->open) {
    const schema::Workspace* holder = table_->FindWorkspace(facts.key);
    if (holder == nullptr) {
      Reject(exchange, facts, 401, std::nullopt, "unknown key");
      return;
    }
    workspace = holder->id;
    rank = holder->priority.value_or(rank);
  }
  Admit(exchange, std::move(request), std::move(facts), *route, workspace,
        rank);
}

void Proxy::Admit(net::ExchangeId exchange, net::Request&& request,
                  CallerFacts facts, const schema::Route& route,
                  const core::WorkspaceId& workspace, std::uint32_t rank) {
  const core::Instant now = net::SteadyNow();
  const core::RequestId id(next_request_++);
  relay::Intake intake;
  intake.name = facts.id;
  intake.table = table_;
  intake.route = &route;
  std::uniform_real_distribution<double> draw;
  intake.service =
      table_->FindService(fleet::PickService(route, draw(random_)));
  intake.workspace = workspace;
  intake.rank = rank;
  intake.work = facts.work;
  intake.arrived = now;
  intake.deadline =
      now + std::min(route.timeout, facts.patience.value_or(route.timeout));
  intake.resume_after = facts.resume_after;
  if (intake.service->engine && facts.work.answer_tokens <= 0) {
    intake.work.prompt_tokens = intake.service->engine->usual_prompt;
    intake.work.answer_tokens = intake.service->engine->usual_answer;
  }
  Job& job = jobs_[id];
  job.exchange = exchange;
  job.request = std::move(request);
  job.stall = internal::StallOf(route);
  job.arrived = now;
  job.workspace = workspace;
  job.facts = std::move(facts);
  by_exchange_[exchange] = id;
  Follow(id, relay_.Arrive(id, std::move(intake), now));
}

void Proxy::Reject(net::ExchangeId exchange, const CallerFacts& facts,
                   unsigned status, std::optional<core::Duration> retry_after,
                   std::string_view reason) {
  net::Response response =
      net::MakeResponse(status, "text/plain", std::string(reason) + "\n");
  if (!facts.id.empty()) response.fields.set(dialect_.id_field, facts.id);
  if (retry_after) {
    response.fields.set(boost::beast::http::field::retry_after,
                        internal::Seconds(*retry_after));
  }
  registry_.Add("foxquay_rejected_total",
                "status=\"" + std::to_string(status) + "\"");
  log::Write(log::Level::kInfo, "request_rejected",
             {{"request", facts.id},
              {"status", status},
              {"fleet", table_ ? table_->version() : 0},
              {"reason", std::string(reason)}});
  server_.Respond(exchange, response);
}

void Proxy::Follow(core::RequestId id, const relay::Decision& decision) {
  std::visit([&](const auto& todo) { Do(id, todo); }, decision);
}

void Proxy::Do(core::RequestId id, const relay::Send& send) {
  Job& job = jobs_.at(id);
  const relay::Intake& intake = relay_.Of(id);
  const core::Instant now = net::SteadyNow();
  net::Request request = job.request;
  net::RemoveHopFields(request.fields);
  Offer offer;
  offer.remaining = intake.deadline - now;
  offer.workspace = intake.workspace;
  offer.hops = send.hops;
  offer.resume_after = job.filter ? job.filter->last() : intake.resume_after;
  dialect_.write_offer(request.fields, offer);
  job.not_run = false;
  job.streaming = false;
  job.fault_address.clear();
  job.sent = now;
  job.heard = now;
  job.flowing = false;
  ++job.sends;
  if (!job.head_sent) job.answer = {};
  net::CallOptions options;
  options.reuse = send.reuse_connection;
  options.echo_field = dialect_.id_field;
  options.echo_value = job.facts.id;
  job.call =
      client_.Call(send.hops.front().address, net::Serialize(request), options);
  by_call_[*job.call] = id;
  registry_.Add("foxquay_sends_total",
                "service=\"" + intake.service->id.value() + "\"");
  log::Write(log::Level::kInfo, "request_sent",
             {{"request", job.facts.id},
              {"attempt", send.attempt},
              {"service", intake.service->id},
              {"way", internal::Describe(send.hops)},
              {"fleet", intake.table->version()},
              {"left_ms", internal::Milliseconds(offer.remaining)}});
}

void Proxy::Do(core::RequestId id, const relay::Hold&) {
  const Job& job = jobs_.at(id);
  log::Write(log::Level::kInfo, "request_held",
             {{"request", job.facts.id}, {"waiting", relay_.held()}});
}

Proxy::Job Proxy::TakeJob(core::RequestId id) {
  Job job = std::move(jobs_.extract(id).mapped());
  if (job.call) {
    client_.Cancel(*job.call);
    by_call_.erase(*job.call);
  }
  by_exchange_.erase(job.exchange);
  return job;
}

void Proxy::Do(core::RequestId id, const relay::Refuse& refuse) {
  const Job job = TakeJob(id);
  net::Response response =
      net::MakeResponse(refuse.status, "text/plain", refuse.reason + "\n");
  response.fields.set(dialect_.id_field, job.facts.id);
  if (refuse.retry_after) {
    response.fields.set(boost::beast::http::field::retry_after,
                        internal::Seconds(*refuse.retry_after));
  }
  LogEnd(job, refuse.status, refuse.status == 503 ? "not-run" : "unknown",
         refuse.reason);
  server_.Respond(job.exchange, response);
}

void Proxy::Do(core::RequestId id, const relay::Break& cut) {
  const Job job = TakeJob(id);
  LogEnd(job, job.status, "cut", cut.reason);
  server_.Abort(job.exchange);
}

void Proxy::LogEnd(const Job& job, unsigned status, std::string_view outcome,
                   std::string_view reason) {
  const core::Duration total = net::SteadyNow() - job.arrived;
  registry_.Record(metrics::Series::kTotal, job.workspace, core::TrafficClass{},
                   total);
  registry_.Add("foxquay_requests_total",
                "outcome=\"" + std::string(outcome) + "\"");
  log::Write(log::Level::kInfo, "request_ended",
             {{"request", job.facts.id},
              {"outcome", std::string(outcome)},
              {"status", status},
              {"sends", job.sends},
              {"events", job.filter ? job.filter->passed() : 0},
              {"total_ms", internal::Milliseconds(total)},
              {"reason", std::string(reason)}});
}

void Proxy::HandleGone(net::ExchangeId exchange) {
  early_.erase(exchange);
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) return;
  const core::RequestId id = found->second;
  const Job job = TakeJob(id);
  relay_.Abandon(id);
  LogEnd(job, 0, "caller-gone", "the caller closed its connection");
}

void Proxy::HandleHead(net::CallId call, unsigned status,
                       net::Fields&& fields) {
  Job& job = jobs_.at(by_call_.at(call));
  const AnswerFacts facts = dialect_.read_answer(status, fields);
  job.not_run = facts.not_run;
  job.fault_address = facts.fault_address;
  job.status = status;
  job.streaming = status == 200 && internal::IsEventStream(fields);
  if (job.head_sent) return;
  net::RemoveHopFields(fields);
  job.answer.status = status;
  job.answer.fields = std::move(fields);
  job.answer.body.clear();
  if (job.streaming && !job.filter) {
    job.filter.emplace(job.facts.resume_after);
  }
}

void Proxy::HandleData(net::CallId call, const std::string& data) {
  const core::RequestId id = by_call_.at(call);
  Job& job = jobs_.at(id);
  if (!job.streaming) {
    if (!job.head_sent) job.answer.body += data;
    return;
  }
  const std::string events = job.filter->Put(data);
  if (job.filter->broken()) {
    client_.Cancel(call);
    by_call_.erase(call);
    job.call.reset();
    Lose(id, {relay::LossKind::kCut, job.fault_address});
    return;
  }
  if (events.empty()) return;
  const core::Instant now = net::SteadyNow();
  if (job.flowing) relay_.NoteTime(id, now - job.heard, now);
  job.flowing = true;
  job.heard = now;
  const net::ExchangeId exchange = job.exchange;
  if (!job.head_sent) {
    job.head_sent = true;
    relay_.Begin(id);
    registry_.Record(metrics::Series::kFirstToken, job.workspace,
                     core::TrafficClass{}, now - job.arrived);
    server_.Start(exchange, job.answer);
  }
  server_.Send(exchange, events);
}

void Proxy::HandleEnd(net::CallId call) {
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  Job& job = jobs_.at(id);
  job.call.reset();
  if (job.not_run) {
    Lose(id, {relay::LossKind::kNotRun, job.fault_address});
  } else if (job.streaming) {
    FinishStream(id);
  } else if (job.head_sent) {
    Lose(id, {relay::LossKind::kError, job.fault_address});
  } else {
    FinishPlain(id);
  }
}

void Proxy::FinishStream(core::RequestId id) {
  Job& job = jobs_.at(id);
  if (!job.filter->whole()) {
    Lose(id, {relay::LossKind::kCut, job.fault_address});
    return;
  }
  relay_.Complete(id);
  const auto node = jobs_.extract(id);
  const net::ExchangeId exchange = node.mapped().exchange;
  by_exchange_.erase(exchange);
  LogEnd(node.mapped(), node.mapped().status, "complete", "");
  if (!node.mapped().head_sent) server_.Start(exchange, node.mapped().answer);
  server_.End(exchange);
}

void Proxy::FinishPlain(core::RequestId id) {
  Job& job = jobs_.at(id);
  const net::ExchangeId exchange = job.exchange;
  const net::Response answer = std::move(job.answer);
  if (answer.status >= 500) {
    // The upstream's own answer is passed on if the request is not sent again.
    relay::Decision decision = relay_.HandleLoss(
        id, {relay::LossKind::kError, job.fault_address}, net::SteadyNow());
    if (!std::holds_alternative<relay::Refuse>(decision)) {
      Follow(id, decision);
      return;
    }
  } else {
    const core::Instant now = net::SteadyNow();
    relay_.NoteTime(id, now - job.sent, now);
    relay_.Complete(id);
  }
  const auto node = jobs_.extract(id);
  by_exchange_.erase(exchange);
  LogEnd(node.mapped(), answer.status,
         answer.status >= 500 ? "upstream-error" : "complete", "");
  server_.Respond(exchange, answer);
}

void Proxy::HandleFailed(net::CallId call, net::Failure failure) {
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  Job& job = jobs_.at(id);
  job.call.reset();
  const relay::LossKind kind =
      job.not_run ? relay::LossKind::kNotRun : internal::KindOf(failure);
  Lose(id, {kind, job.fault_address});
}

void Proxy::Lose(core::RequestId id, const relay::Loss& loss) {
  Job& job = jobs_.at(id);
  const core::Instant now = net::SteadyNow();
  log::Write(log::Level::kInfo, "send_lost",
             {{"request", job.facts.id},
              {"loss", relay::Name(loss.kind)},
              {"way", internal::Describe(relay_.Way(id))},
              {"fault", loss.fault_address},
              {"status", job.status},
              {"after_ms", internal::Milliseconds(now - job.sent)},
              {"events", job.filter ? job.filter->passed() : 0}});
  if (loss.kind == relay::LossKind::kNotSent) {
    const core::UpstreamId& first = relay_.Way(id).front().upstream;
    if (doubted_.try_emplace(first, now).second) doubt_({first});
  }
  registry_.Add("foxquay_losses_total",
                "kind=\"" + std::string(relay::Name(loss.kind)) + "\"");
  if (job.filter) job.filter->Restart();
  Follow(id, relay_.HandleLoss(id, loss, now));
}

/// A stream that is quiet need not wait out its time once an upstream on its
/// way is known to be gone.
core::Duration Proxy::StallOf(core::RequestId id, const Job& job) {
  const auto& hops = relay_.Way(id);
  const bool gone =
      std::any_of(hops.begin(), hops.end(), [this](const relay::Hop& hop) {
        return !relay_.upstreams().Known(hop.upstream);
      });
  return gone ? internal::kQuietBetweenEvents : job.stall;
}

void Proxy::MoveStalled(core::Instant now) {
  std::vector<core::RequestId> stalled;
  for (const auto& [id, job] : jobs_) {
    const bool stream =
        job.call && relay_.Of(id).route->kind == schema::RequestKind::kStream;
    if (stream && now - job.heard >= StallOf(id, job)) stalled.push_back(id);
  }
  for (const core::RequestId id : stalled) {
    Job& job = jobs_.at(id);
    const std::string former = internal::Describe(relay_.Way(id));
    const std::optional<relay::Send> send = relay_.Move(id, now);
    if (!send) continue;
    log::Write(log::Level::kInfo, "stream_moved",
               {{"request", job.facts.id},
                {"from", former},
                {"quiet_ms", internal::Milliseconds(now - job.heard)},
                {"events", job.filter ? job.filter->passed() : 0}});
    client_.Cancel(*job.call);
    by_call_.erase(*job.call);
    job.call.reset();
    if (job.filter) job.filter->Restart();
    Do(id, *send);
  }
}

void Proxy::ReportStalls(core::Instant now) {
  std::erase_if(doubted_, [now](const auto& item) {
    return now - item.second > internal::kDoubtPause;
  });
  std::vector<core::UpstreamId> doubts;
  for (const auto& [id, job] : jobs_) {
    if (!job.call ||
        relay_.Of(id).route->kind != schema::RequestKind::kStream) {
      continue;
    }
    const core::Duration quiet = job.streaming && job.filter->passed() > 0
                                     ? internal::kQuietBetweenEvents
                                     : internal::kQuietBeforeEvents;
    if (now - job.heard < quiet) continue;
    for (const relay::Hop& hop : relay_.Way(id)) {
      if (doubted_.try_emplace(hop.upstream, now).second) {
        doubts.push_back(hop.upstream);
      }
    }
  }
  if (!doubts.empty()) doubt_(std::move(doubts));
}

void Proxy::Review() {
  const core::Instant now = net::SteadyNow();
  if (now >= next_sweep_) {
    next_sweep_ = now + internal::kSweepInterval;
    client_.Sweep(now);
    server_.Sweep(now);
    ReportStalls(now);
    MoveStalled(now);
  }
  if (!early_.empty()) ReviewEarly(now);
  for (const auto& [id, decision] : relay_.Review(now)) {
    if (jobs_.contains(id)) Follow(id, decision);
  }
}

}  // namespace foxquay::gateway
