// Sends of requests and their responses.
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/gateway/proxy.h"
#include "foxquay/gateway/response_checks.h"
#include "foxquay/log/log.h"
#include "foxquay/quarantine/parts.h"

namespace foxquay::gateway {
namespace internal {

/// Interval at which connections are checked for timeouts and streams for
/// silence.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(100);

/// Status of a refusal that promises nothing: the request may have run.
constexpr unsigned kMayHaveRun = 502;

/// Status of a success that has no body.
constexpr unsigned kNoContent = 204;

bool EndsWithConnection(const net::Fields& fields) {
  namespace http = boost::beast::http;
  if (fields.find(http::field::content_length) != fields.end()) return false;
  const http::token_list codings(fields[http::field::transfer_encoding]);
  return std::none_of(codings.begin(), codings.end(), [](const auto& coding) {
    return boost::beast::iequals(coding, "chunked");
  });
}

bool LacksBody(const net::Response& response, bool ends_with_connection,
               const net::Request& request) {
  return ends_with_connection && response.body.empty() &&
         response.status / 100 == 2 && response.status != kNoContent &&
         request.method != "HEAD";
}

bool IsEventStream(const net::Fields& fields) {
  const auto type = fields[boost::beast::http::field::content_type];
  return type.substr(0, 17) == "text/event-stream";
}

relay::LossKind ToLossKind(net::Failure failure) {
  switch (failure) {
    case net::Failure::kNotSent:
    case net::Failure::kTimedOut:
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

void Proxy::AskForLeave() {
  if (relay_.TakeLeaveWanted() && on_leave_wanted_) on_leave_wanted_();
}

void Proxy::Apply(core::RequestId id, const relay::Decision& decision) {
  std::visit([&](const auto& action) { Execute(id, action); }, decision);
}

void Proxy::Execute(core::RequestId id, const relay::Send& send) {
  Job& job = jobs_.at(id);
  const relay::RequestContext& context = relay_.Context(id);
  const core::Instant now = net::SteadyNow();
  ResetSend(job, now);
  ++job.sends;
  job.call = StartCall(id, send);
  if (send.to_partner) {
    registry_.Add("foxquay_relayed_total", "direction=\"out\"");
    log::Write(log::Level::kInfo, "request_relayed",
               {{"request", job.caller.id},
                {"host", send.hops.front().upstream},
                {"service", context.service->id},
                {"prior_sends", send.prior_sends},
                {"left_ms", core::ToMilliseconds(context.deadline - now)}});
    return;
  }
  registry_.Add("foxquay_sends_total",
                "service=\"" + context.service->id.value() + "\"");
  log::Write(log::Level::kInfo, "request_sent",
             {{"request", job.caller.id},
              {"attempt", send.attempt},
              {"service", context.service->id},
              {"workspace", context.workspace},
              {"digest", job.digest},
              {"parts", quarantine::Format(job.caller.prompt_parts)},
              {"way", relay::FormatPath(send.hops)},
              {"fleet", context.table->version()},
              {"relayed", context.relayed},
              {"left_ms", core::ToMilliseconds(context.deadline - now)}});
}

void Proxy::ResetSend(Job& job, core::Instant sent) {
  job.verdict = Verdict::kNoAnswer;
  job.streaming = false;
  job.fault_address.clear();
  job.sent = sent;
  job.last_event = sent;
  job.event_received = false;
  job.head_at.reset();
  job.failure.reset();
  if (!job.head_sent) job.response = {};
}

net::CallId Proxy::StartCall(core::RequestId id, const relay::Send& send) {
  net::CallOptions options;
  options.reuse = send.reuse_connection;
  options.echo_field = protocol_.id_field;
  options.echo_value = jobs_.at(id).caller.id;
  options.head_only = jobs_.at(id).request.method == "HEAD";
  const net::CallId call =
      client_.Call(send.hops.front().address,
                   net::Serialize(MakeRequest(id, send)), options);
  by_call_[call] = id;
  return call;
}

net::Request Proxy::MakeRequest(core::RequestId id,
                                const relay::Send& send) const {
  const Job& job = jobs_.at(id);
  const relay::RequestContext& context = relay_.Context(id);
  const core::Duration remaining = context.deadline - net::SteadyNow();
  const auto resume_after =
      job.filter ? job.filter->last() : context.resume_after;
  net::Request request = job.request;
  net::RemoveHopByHopFields(request.fields);
  request.fields.erase(kPriorSendsField);
  if (send.to_partner) {
    protocol_.write_relaying(request.fields, {remaining, resume_after});
    request.fields.set(kPriorSendsField, std::to_string(send.prior_sends));
    return request;
  }
  ForwardingInfo info;
  info.remaining = remaining;
  info.workspace = context.workspace;
  info.priority = context.priority;
  info.hops = send.hops;
  info.resume_after = resume_after;
  protocol_.write_forwarding(request.fields, info);
  return request;
}

void Proxy::Execute(core::RequestId id, const relay::Hold& hold) {
  const Job& job = jobs_.at(id);
  log::Write(log::Level::kInfo, "request_held",
             {{"request", job.caller.id},
              {"waiting", relay_.held()},
              {"sends", job.sends},
              {"events", job.filter ? job.filter->passed() : 0},
              {"reason", hold.reason}});
  AskForLeave();
}

Proxy::Job Proxy::TakeJob(core::RequestId id) {
  Job job = std::move(jobs_.extract(id).mapped());
  if (job.call) {
    client_.Cancel(*job.call);
    by_call_.erase(*job.call);
  }
  if (job.hedge) {
    client_.Cancel(job.hedge->call);
    by_call_.erase(job.hedge->call);
    RecordHedgeEnd(job, "wasted", "request-ended");
  }
  by_exchange_.erase(job.exchange);
  return job;
}

void Proxy::Execute(core::RequestId id, const relay::Refuse& refuse) {
  const Job job = TakeJob(id);
  net::Response response =
      net::MakeRefusal(refuse.status, refuse.reason, refuse.retry_after);
  response.fields.set(protocol_.id_field, job.caller.id);
  RecordEnd(job, refuse.status, refuse.status == 503 ? "not-run" : "unknown",
            refuse.reason);
  server_.Respond(job.exchange, response);
}

void Proxy::Execute(core::RequestId id, const relay::Abort& abort) {
  const Job job = TakeJob(id);
  RecordEnd(job, job.status, "cut", abort.reason);
  server_.Abort(job.exchange);
}

void Proxy::RecordEnd(const Job& job, unsigned status, std::string_view outcome,
                      std::string_view reason) {
  const core::Duration total = net::SteadyNow() - job.arrived;
  registry_.Record(metrics::Series::kTotal, job.workspace, core::TrafficClass{},
                   total);
  if (outcome == "complete") answer_times_.Record(job.route, total);
  registry_.Add("foxquay_requests_total",
                "outcome=\"" + std::string(outcome) + "\"");
  log::Write(log::Level::kInfo, "request_ended",
             {{"request", job.caller.id},
              {"outcome", std::string(outcome)},
              {"status", status},
              {"sends", job.sends},
              {"events", job.filter ? job.filter->passed() : 0},
              {"digest", job.digest},
              {"total_ms", core::ToMilliseconds(total)},
              {"reason", std::string(reason)}});
}

void Proxy::HandleCallerDisconnected(net::ExchangeId exchange) {
  pending_.erase(exchange);
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) return;
  const core::RequestId id = found->second;
  const Job job = TakeJob(id);
  relay_.Abandon(id);
  RecordEnd(job, 0, "caller-gone", "the caller closed its connection");
}

void Proxy::HandleHead(net::CallId call, unsigned status,
                       net::Fields&& fields) {
  if (IsHedge(call)) {
    HandleHedgeHead(call, status, std::move(fields));
    return;
  }
  const core::RequestId id = by_call_.at(call);
  relay_.CloseHedging(id);
  Job& job = jobs_.at(id);
  const bool via_partner = relay_.ViaPartner(id);
  const ResponseInfo info = protocol_.read_response(status, fields);
  job.verdict = Judge(
      status, info, {relay_.MayRepeat(id), via_partner, relay_.MayHaveRun(id)});
  job.status = status;
  job.head_at = net::SteadyNow();
  const auto& hops = relay_.Path(id);
  if (job.verdict == Verdict::kNoAnswer) {
    // What it states is not the upstream's either.
    RecordNoAnswer(id, hops, status, info);
    CancelSend(call, {relay::LossKind::kUnanswered, "", false});
    return;
  }
  // What the answer of another host states is meant for that host.
  if (!via_partner) {
    if (!hops.empty()) {
      RecordStatements(hops.front().upstream, info, job.caller.id);
    }
    job.fault_address = info.fault_address;
  }
  if (relay_.Context(id).relayed) protocol_.remove_statements(fields);
  job.streaming = status == 200 && internal::IsEventStream(fields);
  job.ends_with_connection = internal::EndsWithConnection(fields);
  if (job.head_sent) return;
  net::RemoveHopByHopFields(fields);
  job.response.status = status;
  job.response.fields = std::move(fields);
  job.response.body.clear();
  if (job.streaming && !job.filter) {
    job.filter.emplace(job.caller.resume_after);
  }
}

void Proxy::RecordNoAnswer(core::RequestId id,
                           const std::vector<relay::Hop>& path, unsigned status,
                           const ResponseInfo& info) {
  const char* const reason = info.is_encoded   ? "encoded"
                             : !info.is_signed ? "unsigned"
                                               : "stated-not-run";
  registry_.Add("foxquay_responses_rejected_total",
                "reason=\"" + std::string(reason) + "\"");
  log::Write(log::Level::kWarn, "response_rejected",
             {{"request", jobs_.at(id).caller.id},
              {"way", relay::FormatPath(path)},
              {"status", status},
              {"reason", std::string(reason)}});
}

void Proxy::RecordStatements(const core::UpstreamId& upstream,
                             const ResponseInfo& info,
                             const std::string& request) {
  RecordLimit(upstream, info, request);
  if (!relay_.RecordWish(upstream, info.leaving, info.hold_off,
                         net::SteadyNow())) {
    return;
  }
  log::Write(
      log::Level::kInfo, "upstream_declines",
      {{"request", request},
       {"upstream", upstream},
       {"leaving", info.leaving},
       {"hold_off_ms",
        core::ToMilliseconds(info.hold_off.value_or(core::Duration::zero()))}});
  registry_.Add("foxquay_upstream_declines_total",
                info.leaving ? "reason=\"leaving\"" : "reason=\"hold-off\"");
}

void Proxy::RecordLimit(const core::UpstreamId& upstream,
                        const ResponseInfo& info, const std::string& request) {
  if (info.invalid_limit) {
    registry_.Add("foxquay_upstream_limits_invalid_total", "");
    log::Write(log::Level::kDebug, "upstream_limit_invalid",
               {{"request", request}, {"upstream", upstream}});
    return;
  }
  if (!relay_.upstreams().RecordLimit(upstream, info.limit, net::SteadyNow())) {
    return;
  }
  registry_.Add("foxquay_upstream_limits_total",
                info.limit ? "change=\"stated\"" : "change=\"ended\"");
  log::Write(log::Level::kInfo, "upstream_limit",
             {{"request", request},
              {"upstream", upstream},
              {"limited", info.limit.has_value()},
              {"per_second", info.limit.value_or(0)}});
}

void Proxy::BeginAnswer(core::RequestId id, core::Instant now) {
  DropHedge(id);
  relay_.BeginAnswer(id, now);
}

void Proxy::HandleData(net::CallId call, const std::string& data) {
  if (IsHedge(call)) {
    HandleHedgeData(call, data);
    return;
  }
  const core::RequestId id = by_call_.at(call);
  Job& job = jobs_.at(id);
  if (!job.streaming) {
    HandleBody(call, data);
    return;
  }
  const std::string events = job.filter->Put(data);
  if (job.filter->broken()) {
    CancelSend(call, {relay::LossKind::kCut, job.fault_address, false});
    return;
  }
  if (events.empty()) return;
  const core::Instant now = net::SteadyNow();
  if (job.event_received) {
    relay_.RecordLatency(id, now - job.last_event, now);
  } else {
    BeginAnswer(id, now);
  }
  job.event_received = true;
  job.ended_between_events = false;
  job.last_event = now;
  const net::ExchangeId exchange = job.exchange;
  if (!job.head_sent) {
    job.head_sent = true;
    registry_.Record(metrics::Series::kFirstToken, job.workspace,
                     core::TrafficClass{}, now - job.arrived);
    server_.Start(exchange, job.response);
  }
  server_.Send(exchange, events);
}

void Proxy::HandleBody(net::CallId call, const std::string& data) {
  const core::RequestId id = by_call_.at(call);
  Job& job = jobs_.at(id);
  if (job.passing_body) {
    server_.Send(job.exchange, data);
    return;
  }
  if (job.head_sent) return;
  job.response.body += data;
  if (job.response.body.size() <= internal::kMaxBufferedBytes) return;
  // What is not the answer to the request is not passed on.
  if (job.verdict != Verdict::kAnswer) {
    const auto kind = job.verdict == Verdict::kNotRun ? relay::LossKind::kNotRun
                                                      : relay::LossKind::kError;
    CancelSend(call, {kind, job.fault_address, false});
    return;
  }
  job.passing_body = true;
  job.head_sent = true;
  BeginAnswer(id, net::SteadyNow());
  const std::string body = std::exchange(job.response.body, {});
  // The job ends if the caller turns out to be disconnected.
  const net::ExchangeId exchange = job.exchange;
  server_.Start(exchange, job.response);
  server_.Send(exchange, body);
}

void Proxy::CancelSend(net::CallId call, const relay::Loss& loss) {
  const core::RequestId id = by_call_.at(call);
  client_.Cancel(call);
  by_call_.erase(call);
  jobs_.at(id).call.reset();
  HandleLoss(id, loss);
}

void Proxy::HandleEnd(net::CallId call) {
  if (IsHedge(call)) {
    HandleHedgeEnd(call);
    return;
  }
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  Job& job = jobs_.at(id);
  job.call.reset();
  if (job.verdict == Verdict::kNotRun) {
    HandleLoss(id, {relay::LossKind::kNotRun, job.fault_address, false});
  } else if (job.streaming) {
    FinishStream(id);
  } else if (job.head_sent && !job.passing_body) {
    HandleLoss(id, {relay::LossKind::kError, job.fault_address, false});
  } else if (EndIsUnproven(id)) {
    DropHedge(id);
    CheckEnd(id);
  } else {
    FinishAnswer(id);
  }
}

bool Proxy::EndIsUnproven(core::RequestId id) {
  // The connections of a process that crashes end in order, too.
  const Job& job = jobs_.at(id);
  const bool has_body =
      job.streaming || job.passing_body || !job.response.body.empty();
  const bool unproven = job.ends_with_connection && has_body &&
                        job.verdict == Verdict::kAnswer &&
                        job.status / 100 == 2 && !relay_.ViaPartner(id);
  // One that has asked for a pause gets no inquiry either.
  return unproven && !relay_.upstreams().hold_offs().Active(
                         relay_.Path(id).front().upstream, net::SteadyNow());
}

void Proxy::FinishAnswer(core::RequestId id) {
  const Job& job = jobs_.at(id);
  if (job.streaming || job.passing_body) {
    CompleteAnswer(id);
  } else {
    FinishResponse(id);
  }
}

void Proxy::FinishStream(core::RequestId id) {
  Job& job = jobs_.at(id);
  // A stream that goes on at another upstream is complete only if that one has
  // sent an event of it, or nothing was missing: an answer without any may be
  // that of an upstream that failed. One that ends with its connection is not
  // told from an upstream that ended before the first event.
  const bool goes_on = job.filter->passed() > 0;
  const bool empty =
      !job.event_received &&
      (goes_on ? !job.ended_between_events
               : job.ends_with_connection && !job.caller.resume_after);
  if (empty || !job.filter->between_events()) {
    HandleLoss(id, {relay::LossKind::kCut, job.fault_address, Unfinished(job)});
    return;
  }
  if (EndIsUnproven(id)) {
    CheckEnd(id);
    return;
  }
  CompleteAnswer(id);
}

void Proxy::CompleteAnswer(core::RequestId id) {
  DropHedge(id);
  relay_.Complete(id, net::SteadyNow());
  const auto node = jobs_.extract(id);
  const net::ExchangeId exchange = node.mapped().exchange;
  by_exchange_.erase(exchange);
  RecordEnd(node.mapped(), node.mapped().status, "complete", "");
  if (!node.mapped().head_sent) server_.Start(exchange, node.mapped().response);
  server_.End(exchange);
}

void Proxy::FinishPartnerRefusal(core::RequestId id,
                                 const net::Response& response) {
  const bool proven = jobs_.at(id).verdict == Verdict::kAnswer;
  // It is no evidence that an upstream has answered the request.
  relay_.Abandon(id);
  if (!proven) {
    Execute(id, relay::Refuse{internal::kMayHaveRun, std::nullopt,
                              "refused by another host after it may have run"});
    return;
  }
  const Job job = TakeJob(id);
  RecordEnd(job, response.status, "partner-refused", "");
  server_.Respond(job.exchange, response);
}

void Proxy::FinishResponse(core::RequestId id) {
  ReviewOutdated();
  Job& job = jobs_.at(id);
  // Not told from an upstream that ended after the head.
  if (internal::LacksBody(job.response, job.ends_with_connection,
                          job.request)) {
    HandleLoss(id, {relay::LossKind::kCut, job.fault_address, Unfinished(job)});
    return;
  }
  const Verdict verdict = job.verdict;
  const bool via_partner = relay_.ViaPartner(id);
  // Its status would promise what the upstream has not stated.
  const bool withheld = verdict == Verdict::kUnprovenRefusal && !via_partner;
  if (withheld || (job.hedge && verdict == Verdict::kFailure)) {
    HandleLoss(id, {relay::LossKind::kError, job.fault_address, false});
    return;
  }
  DropHedge(id);
  const net::ExchangeId exchange = job.exchange;
  const net::Response response = std::move(job.response);
  if (via_partner && response.status / 100 != 2) {
    FinishPartnerRefusal(id, response);
    return;
  }
  if (verdict == Verdict::kFailure) {
    // If the request is not retried, the upstream's own response is passed on.
    relay::Decision decision = relay_.HandleLoss(
        id, {relay::LossKind::kError, job.fault_address, false},
        net::SteadyNow());
    if (!std::holds_alternative<relay::Refuse>(decision)) {
      Apply(id, decision);
      return;
    }
  } else {
    const core::Instant now = net::SteadyNow();
    relay_.RecordLatency(id, now - job.sent, now);
    relay_.Complete(id, now);
  }
  const auto node = jobs_.extract(id);
  by_exchange_.erase(exchange);
  RecordEnd(node.mapped(), response.status,
            response.status >= 500 ? "upstream-error" : "complete", "");
  server_.Respond(exchange, response);
}

void Proxy::HandleFailure(net::CallId call, net::Failure failure) {
  if (IsHedge(call)) {
    HandleHedgeFailure(call, failure);
    return;
  }
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  Job& job = jobs_.at(id);
  job.call.reset();
  job.failure = failure;
  if (job.passing_body) {
    BreakOff(id);
    return;
  }
  const relay::LossKind kind = job.verdict == Verdict::kNotRun
                                   ? relay::LossKind::kNotRun
                                   : internal::ToLossKind(failure);
  HandleLoss(id, {kind, job.fault_address, Unfinished(job)});
}

void Proxy::BreakOff(core::RequestId id) {
  const Job& job = jobs_.at(id);
  const relay::Loss loss{relay::LossKind::kCut, job.fault_address,
                         Unfinished(job)};
  const auto suspicion = relay_.SuspectCrash(id, loss);
  relay_.Abandon(id);
  Execute(id, relay::Abort{"the answer broke off while it was passed on"});
  if (suspicion) CheckCrash(id, *suspicion, 0);
}

void Proxy::Review() {
  const core::Instant now = net::SteadyNow();
  ReviewOutdated();
  ReviewDrain(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + internal::kSweepInterval;
    client_.Sweep(now);
    server_.Sweep(now);
    prober_.Review(now);
    ExpireChecks(now);
    ReportSuspects(now);
    ReportOverload();
    Inquire();
    MoveStalledStreams(now);
  }
  if (!pending_.empty()) ReviewPending(now);
  ReviewHeld(now);
  SendDueHedges(now);
}

void Proxy::ReviewHeld(core::Instant now) {
  for (const auto& [id, decision] : relay_.Review(now)) {
    if (jobs_.contains(id)) Apply(id, decision);
  }
  AskForLeave();
}

}  // namespace foxquay::gateway
