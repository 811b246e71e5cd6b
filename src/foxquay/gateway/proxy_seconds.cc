// Second sends of slow requests (docs/design/hedging.md).
#include <utility>
#include <variant>

#include "foxquay/gateway/proxy.h"
#include "foxquay/gateway/response_checks.h"
#include "foxquay/log/log.h"
#include "foxquay/quarantine/parts.h"

namespace foxquay::gateway {

void Proxy::SendSeconds(core::Instant now) {
  // A host that stops starts no work that is not needed.
  if (drain_) return;
  for (const auto& [id, decision] : relay_.DueHedges(now)) {
    if (const auto* denial = std::get_if<relay::HedgeDenial>(&decision)) {
      registry_.Add("foxquay_second_sends_denied_total",
                    "reason=\"" + std::string(relay::Name(*denial)) + "\"");
    } else {
      SendSecond(id, std::get<relay::Send>(decision));
    }
  }
}

void Proxy::SendSecond(core::RequestId id, const relay::Send& send) {
  Job& job = jobs_.at(id);
  const relay::RequestContext& context = relay_.Context(id);
  const core::Instant now = net::SteadyNow();
  ++job.sends;
  SecondSend& second = job.second.emplace();
  second.sent = now;
  second.call = StartCall(id, send);
  registry_.Add("foxquay_sends_total",
                "service=\"" + context.service->id.value() + "\"");
  registry_.Add("foxquay_second_sends_total", "result=\"sent\"");
  log::Write(log::Level::kInfo, "request_sent_twice",
             {{"request", job.caller.id},
              {"attempt", send.attempt},
              {"service", context.service->id},
              {"workspace", context.workspace},
              {"digest", job.digest},
              {"first", relay::FormatPath(relay_.Path(id))},
              {"second", relay::FormatPath(send.hops)},
              {"waited_ms", core::ToMilliseconds(now - job.sent)},
              {"left_ms", core::ToMilliseconds(context.deadline - now)}});
}

bool Proxy::IsSecond(net::CallId call) const {
  const auto& second = jobs_.at(by_call_.at(call)).second;
  return second && second->call == call;
}

void Proxy::HandleSecondHead(net::CallId call, unsigned status,
                             net::Fields&& fields) {
  const core::RequestId id = by_call_.at(call);
  Job& job = jobs_.at(id);
  const ResponseInfo info = protocol_.read_response(status, fields);
  RecordStatements(relay_.SecondPath(id).front().upstream, info, job.caller.id);
  SecondSend& second = *job.second;
  second.head_at = net::SteadyNow();
  second.status = status;
  second.fields = std::move(fields);
  second.not_run = info.not_run;
  second.fault_address = info.fault_address;
}

void Proxy::HandleSecondData(net::CallId call, const std::string& data) {
  const core::RequestId id = by_call_.at(call);
  SecondSend& second = *jobs_.at(id).second;
  second.body += data;
  if (second.body.size() <= internal::kMaxBufferedBytes) return;
  if (!second.not_run && second.status < 500) {
    WinSecond(id);
    return;
  }
  client_.Cancel(call);
  by_call_.erase(call);
  const auto kind =
      second.not_run ? relay::LossKind::kNotRun : relay::LossKind::kError;
  LoseSecond(id, {kind, second.fault_address}, "open");
}

void Proxy::HandleSecondEnd(net::CallId call) {
  ReviewOutdated();
  const core::RequestId id = by_call_.at(call);
  const Job& job = jobs_.at(id);
  const SecondSend& second = *job.second;
  net::Response response;
  response.status = second.status;
  response.body = second.body;
  relay::Loss loss{relay::LossKind::kError, second.fault_address};
  if (second.not_run) {
    loss.kind = relay::LossKind::kNotRun;
  } else if (internal::LacksBody(response,
                                 internal::EndsWithConnection(second.fields),
                                 job.request)) {
    loss.kind = relay::LossKind::kCut;
    loss.unfinished = true;
  } else if (second.status < 500) {
    WinSecond(id);
    if (by_call_.contains(call)) HandleEnd(call);
    return;
  }
  by_call_.erase(call);
  LoseSecond(id, loss, "open");
}

void Proxy::HandleSecondFailure(net::CallId call, net::Failure failure) {
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  const SecondSend& second = *jobs_.at(id).second;
  relay::Loss loss{internal::ToLossKind(failure), second.fault_address};
  if (second.not_run) loss.kind = relay::LossKind::kNotRun;
  loss.unfinished = failure != net::Failure::kMalformed &&
                    (!second.head_at || second.status / 100 == 2);
  LoseSecond(id, loss, net::Name(failure));
}

void Proxy::WinSecond(core::RequestId id) {
  Job& job = jobs_.at(id);
  client_.Cancel(*job.call);
  by_call_.erase(*job.call);
  job.call.reset();
  RecordSecondEnd(job, "won", "first-slower");
  relay_.WinSecond(id, net::SteadyNow());
  PromoteSecond(id);
}

void Proxy::DropSecond(core::RequestId id) {
  Job& job = jobs_.at(id);
  if (!job.second) return;
  client_.Cancel(job.second->call);
  by_call_.erase(job.second->call);
  RecordSecondEnd(job, "wasted", "first-answered");
  relay_.DropSecond(id, net::SteadyNow());
  job.second.reset();
}

void Proxy::LoseSecond(core::RequestId id, const relay::Loss& loss,
                       std::string_view connection) {
  Job& job = jobs_.at(id);
  const core::Instant now = net::SteadyNow();
  const std::vector<relay::Hop> path = relay_.SecondPath(id);
  log::Write(log::Level::kInfo, "send_lost",
             {{"request", job.caller.id},
              {"loss", relay::Name(loss.kind)},
              {"connection", std::string(connection)},
              {"way", relay::FormatPath(path)},
              {"fault", loss.fault_address},
              {"status", job.second->status},
              {"workspace", job.workspace},
              {"digest", job.digest},
              {"parts", quarantine::Format(job.caller.prompt_parts)},
              {"after_ms", core::ToMilliseconds(now - job.second->sent)},
              {"begun", job.second->head_at.has_value()},
              {"second", true}});
  if (loss.kind == relay::LossKind::kNotSent) {
    ReportSuspect(path.front().upstream, now);
  }
  registry_.Add("foxquay_losses_total",
                "kind=\"" + std::string(relay::Name(loss.kind)) + "\"");
  RecordSecondEnd(job, "wasted", "lost");
  job.second.reset();
  const auto suspicion = relay_.LoseCopy(id, relay::Copy::kSecond, loss, now);
  if (suspicion) CheckCrash(id, *suspicion, 0);
  Inquire();
}

void Proxy::ContinueWithSecond(core::RequestId id, const relay::Loss& loss) {
  const auto suspicion =
      relay_.LoseCopy(id, relay::Copy::kFirst, loss, net::SteadyNow());
  RecordSecondEnd(jobs_.at(id), "kept", "first-lost");
  PromoteSecond(id);
  if (suspicion) CheckCrash(id, *suspicion, 0);
  Inquire();
}

void Proxy::PromoteSecond(core::RequestId id) {
  Job& job = jobs_.at(id);
  SecondSend second = *std::exchange(job.second, std::nullopt);
  ResetSend(job, second.sent);
  job.call = second.call;
  if (!second.head_at) return;
  HandleHead(second.call, second.status, std::move(second.fields));
  job.head_at = second.head_at;
  if (!second.body.empty()) HandleData(second.call, second.body);
}

void Proxy::RecordSecondEnd(const Job& job, std::string_view result,
                            std::string_view reason) {
  const core::Instant now = net::SteadyNow();
  registry_.Add("foxquay_second_sends_total",
                "result=\"" + std::string(result) + "\"");
  log::Write(log::Level::kInfo, "second_send_ended",
             {{"request", job.caller.id},
              {"result", std::string(result)},
              {"reason", std::string(reason)},
              {"first_ms", core::ToMilliseconds(now - job.sent)},
              {"second_ms", core::ToMilliseconds(now - job.second->sent)}});
}

}  // namespace foxquay::gateway
