// Sends, the answers to them and the streams that fall silent.
#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <utility>
#include <variant>

#include "foxquay/gateway/proxy.h"
#include "foxquay/log/log.h"

namespace foxquay::gateway {
namespace internal {

/// Interval at which connections are swept.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(100);

/// Silence of a stream, between events or before the first, after which its
/// upstreams are doubted: several times what a step or a prompt takes, and
/// well below the silence after which it goes on elsewhere.
constexpr core::Duration kQuietBetweenEvents = std::chrono::milliseconds(250);
constexpr core::Duration kQuietBeforeEvents = std::chrono::milliseconds(500);

/// Pause before the same upstream is doubted again.
constexpr core::Duration kDoubtPause = std::chrono::milliseconds(1000);

double Milliseconds(core::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
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

void Proxy::Follow(core::RequestId id, const relay::Decision& decision) {
  std::visit([&](const auto& todo) { Do(id, todo); }, decision);
}

void Proxy::Do(core::RequestId id, const relay::Send& send) {
  Job& job = jobs_.at(id);
  const relay::RequestContext& context = relay_.Context(id);
  const core::Instant now = net::SteadyNow();
  net::Request request = job.request;
  net::RemoveHopByHopFields(request.fields);
  Offer offer;
  offer.remaining = context.deadline - now;
  offer.workspace = context.workspace;
  offer.hops = send.hops;
  offer.resume_after = job.filter ? job.filter->last() : context.resume_after;
  protocol_.write_offer(request.fields, offer);
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
  options.echo_field = protocol_.id_field;
  options.echo_value = job.facts.id;
  job.call =
      client_.Call(send.hops.front().address, net::Serialize(request), options);
  by_call_[*job.call] = id;
  registry_.Add("foxquay_sends_total",
                "service=\"" + context.service->id.value() + "\"");
  log::Write(log::Level::kInfo, "request_sent",
             {{"request", job.facts.id},
              {"attempt", send.attempt},
              {"service", context.service->id},
              {"way", internal::Describe(send.hops)},
              {"fleet", context.table->version()},
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
      net::MakeRefusal(refuse.status, refuse.reason, refuse.retry_after);
  response.fields.set(protocol_.id_field, job.facts.id);
  LogEnd(job, refuse.status, refuse.status == 503 ? "not-run" : "unknown",
         refuse.reason);
  server_.Respond(job.exchange, response);
}

void Proxy::Do(core::RequestId id, const relay::Abort& cut) {
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
  const AnswerFacts facts = protocol_.read_answer(status, fields);
  job.not_run = facts.not_run;
  job.fault_address = facts.fault_address;
  job.status = status;
  job.streaming = status == 200 && internal::IsEventStream(fields);
  if (job.head_sent) return;
  net::RemoveHopByHopFields(fields);
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
  if (job.flowing) relay_.RecordLatency(id, now - job.heard, now);
  job.flowing = true;
  job.heard = now;
  const net::ExchangeId exchange = job.exchange;
  if (!job.head_sent) {
    job.head_sent = true;
    relay_.BeginAnswer(id);
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
  if (!job.filter->between_events()) {
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
    relay_.RecordLatency(id, now - job.sent, now);
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
              {"way", internal::Describe(relay_.Path(id))},
              {"fault", loss.fault_address},
              {"status", job.status},
              {"after_ms", internal::Milliseconds(now - job.sent)},
              {"events", job.filter ? job.filter->passed() : 0}});
  if (loss.kind == relay::LossKind::kNotSent) {
    const core::UpstreamId& first = relay_.Path(id).front().upstream;
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
  const auto& hops = relay_.Path(id);
  const bool gone =
      std::any_of(hops.begin(), hops.end(), [this](const relay::Hop& hop) {
        return !relay_.upstreams().Known(hop.upstream);
      });
  return gone ? internal::kQuietBetweenEvents : job.stall;
}

void Proxy::MoveStalled(core::Instant now) {
  std::vector<core::RequestId> stalled;
  for (const auto& [id, job] : jobs_) {
    const bool stream = job.call && relay_.Context(id).route->kind ==
                                        schema::RequestKind::kStream;
    if (stream && now - job.heard >= StallOf(id, job)) stalled.push_back(id);
  }
  for (const core::RequestId id : stalled) {
    Job& job = jobs_.at(id);
    const std::string former = internal::Describe(relay_.Path(id));
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
        relay_.Context(id).route->kind != schema::RequestKind::kStream) {
      continue;
    }
    const core::Duration quiet = job.streaming && job.filter->passed() > 0
                                     ? internal::kQuietBetweenEvents
                                     : internal::kQuietBeforeEvents;
    if (now - job.heard < quiet) continue;
    for (const relay::Hop& hop : relay_.Path(id)) {
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
