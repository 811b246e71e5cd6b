// Second sends of slow requests (docs/design/hedging.md).
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/gateway/proxy.h"
#include "foxquay/gateway/response_checks.h"
#include "foxquay/log/log.h"
#include "foxquay/quarantine/parts.h"

namespace foxquay::gateway {

void Proxy::SendDueHedges(core::Instant now) {
  // A host that stops starts no work that is not needed.
  if (drain_) return;
  for (const auto& [id, decision] : relay_.DueHedges(now)) {
    if (const auto* denial = std::get_if<relay::HedgeDenial>(&decision)) {
      registry_.Add("foxquay_hedges_denied_total",
                    "reason=\"" + std::string(relay::Name(*denial)) + "\"");
    } else {
      SendHedge(id, std::get<relay::Send>(decision));
    }
  }
}

void Proxy::SendHedge(core::RequestId id, const relay::Send& send) {
  Job& job = jobs_.at(id);
  const relay::RequestContext& context = relay_.Context(id);
  const core::Instant now = net::SteadyNow();
  ++job.sends;
  Hedge hedge;
  hedge.sent = now;
  hedge.call = StartCall(id, send);
  job.hedge = std::move(hedge);
  registry_.Add("foxquay_sends_total",
                "service=\"" + context.service->id.value() + "\"");
  registry_.Add("foxquay_hedges_total", "result=\"sent\"");
  log::Write(log::Level::kInfo, "request_hedged",
             {{"request", job.caller.id},
              {"attempt", send.attempt},
              {"service", context.service->id},
              {"workspace", context.workspace},
              {"digest", job.digest},
              {"first", relay::FormatPath(relay_.Path(id))},
              {"hedge", relay::FormatPath(send.hops)},
              {"waited_ms", core::ToMilliseconds(now - job.sent)},
              {"left_ms", core::ToMilliseconds(context.deadline - now)}});
}

bool Proxy::IsHedge(net::CallId call) const {
  const auto& hedge = jobs_.at(by_call_.at(call)).hedge;
  return hedge && hedge->call == call;
}

void Proxy::HandleHedgeHead(net::CallId call, unsigned status,
                            net::Fields&& fields) {
  const core::RequestId id = by_call_.at(call);
  Job& job = jobs_.at(id);
  const ResponseInfo info = protocol_.read_response(status, fields);
  const std::vector<relay::Hop>& path = relay_.HedgePath(id);
  Hedge& hedge = *job.hedge;
  hedge.head_at = net::SteadyNow();
  hedge.status = status;
  hedge.verdict = Judge(
      status, info,
      {relay_.MayRepeat(id), /*via_partner=*/false, relay_.MayHaveRun(id)});
  if (hedge.verdict == Verdict::kNoAnswer) {
    RecordNoAnswer(id, path, status, info);
    client_.Cancel(call);
    by_call_.erase(call);
    LoseHedge(id, {relay::LossKind::kUnanswered, ""}, "open");
    return;
  }
  RecordStatements(path.front().upstream, info, job.caller.id);
  hedge.fields = std::move(fields);
  hedge.fault_address = info.fault_address;
}

void Proxy::HandleHedgeData(net::CallId call, const std::string& data) {
  const core::RequestId id = by_call_.at(call);
  Hedge& hedge = *jobs_.at(id).hedge;
  hedge.body += data;
  if (hedge.body.size() <= internal::kMaxBufferedBytes) return;
  if (hedge.verdict == Verdict::kAnswer) {
    WinHedge(id);
    return;
  }
  client_.Cancel(call);
  by_call_.erase(call);
  const auto kind = hedge.verdict == Verdict::kNotRun ? relay::LossKind::kNotRun
                                                      : relay::LossKind::kError;
  LoseHedge(id, {kind, hedge.fault_address}, "open");
}

void Proxy::HandleHedgeEnd(net::CallId call) {
  ReviewOutdated();
  const core::RequestId id = by_call_.at(call);
  const Job& job = jobs_.at(id);
  const Hedge& hedge = *job.hedge;
  net::Response response;
  response.status = hedge.status;
  response.body = hedge.body;
  relay::Loss loss{relay::LossKind::kError, hedge.fault_address};
  if (hedge.verdict == Verdict::kNotRun) {
    loss.kind = relay::LossKind::kNotRun;
  } else if (internal::LacksBody(response,
                                 internal::EndsWithConnection(hedge.fields),
                                 job.request)) {
    loss.kind = relay::LossKind::kCut;
    loss.unfinished = true;
  } else if (hedge.verdict == Verdict::kAnswer) {
    WinHedge(id);
    if (by_call_.contains(call)) HandleEnd(call);
    return;
  }
  by_call_.erase(call);
  LoseHedge(id, loss, "open");
}

void Proxy::HandleHedgeFailure(net::CallId call, net::Failure failure) {
  const core::RequestId id = by_call_.at(call);
  by_call_.erase(call);
  const Hedge& hedge = *jobs_.at(id).hedge;
  relay::Loss loss{internal::ToLossKind(failure), hedge.fault_address};
  if (hedge.verdict == Verdict::kNotRun) loss.kind = relay::LossKind::kNotRun;
  loss.unfinished = failure != net::Failure::kMalformed &&
                    (!hedge.head_at || hedge.status / 100 == 2);
  LoseHedge(id, loss, net::Name(failure));
}

void Proxy::WinHedge(core::RequestId id) {
  Job& job = jobs_.at(id);
  client_.Cancel(*job.call);
  by_call_.erase(*job.call);
  job.call.reset();
  RecordHedgeEnd(job, "won", "first-slower");
  relay_.WinHedge(id, net::SteadyNow());
  PromoteHedge(id);
}

void Proxy::DropHedge(core::RequestId id) {
  Job& job = jobs_.at(id);
  if (!job.hedge) return;
  client_.Cancel(job.hedge->call);
  by_call_.erase(job.hedge->call);
  RecordHedgeEnd(job, "wasted", "first-answered");
  relay_.DropHedge(id, net::SteadyNow());
  job.hedge.reset();
}

void Proxy::LoseHedge(core::RequestId id, const relay::Loss& loss,
                      std::string_view connection) {
  Job& job = jobs_.at(id);
  const core::Instant now = net::SteadyNow();
  const std::vector<relay::Hop> path = relay_.HedgePath(id);
  log::Write(log::Level::kInfo, "send_lost",
             {{"request", job.caller.id},
              {"loss", relay::Name(loss.kind)},
              {"connection", std::string(connection)},
              {"way", relay::FormatPath(path)},
              {"fault", loss.fault_address},
              {"status", job.hedge->status},
              {"verdict", job.hedge->head_at ? Name(job.hedge->verdict) : ""},
              {"workspace", job.workspace},
              {"digest", job.digest},
              {"parts", quarantine::Format(job.caller.prompt_parts)},
              {"after_ms", core::ToMilliseconds(now - job.hedge->sent)},
              {"begun", job.hedge->head_at.has_value()},
              {"hedge", true}});
  if (loss.kind == relay::LossKind::kNotSent) {
    ReportSuspect(path.front().upstream, now);
  }
  registry_.Add("foxquay_losses_total",
                "kind=\"" + std::string(relay::Name(loss.kind)) + "\"");
  RecordHedgeEnd(job, "wasted", "lost");
  job.hedge.reset();
  const auto suspicion = relay_.LoseCopy(id, relay::Copy::kHedge, loss, now);
  if (suspicion) CheckCrash(id, *suspicion, 0);
  Inquire();
}

void Proxy::ContinueWithHedge(core::RequestId id, const relay::Loss& loss) {
  const auto suspicion =
      relay_.LoseCopy(id, relay::Copy::kFirst, loss, net::SteadyNow());
  RecordHedgeEnd(jobs_.at(id), "kept", "first-lost");
  PromoteHedge(id);
  if (suspicion) CheckCrash(id, *suspicion, 0);
  Inquire();
}

void Proxy::PromoteHedge(core::RequestId id) {
  Job& job = jobs_.at(id);
  Hedge hedge = *std::exchange(job.hedge, std::nullopt);
  job.filter.reset();
  ResetSend(job, hedge.sent);
  job.call = hedge.call;
  if (!hedge.head_at) return;
  HandleHead(hedge.call, hedge.status, std::move(hedge.fields));
  job.head_at = hedge.head_at;
  if (!hedge.body.empty()) HandleData(hedge.call, hedge.body);
}

void Proxy::RecordHedgeEnd(const Job& job, std::string_view result,
                           std::string_view reason) {
  const core::Instant now = net::SteadyNow();
  registry_.Add("foxquay_hedges_total",
                "result=\"" + std::string(result) + "\"");
  log::Write(log::Level::kInfo, "hedge_ended",
             {{"request", job.caller.id},
              {"result", std::string(result)},
              {"reason", std::string(reason)},
              {"first_ms", core::ToMilliseconds(now - job.sent)},
              {"hedge_ms", core::ToMilliseconds(now - job.hedge->sent)}});
}

}  // namespace foxquay::gateway
