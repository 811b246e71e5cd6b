// Losses of sends: upstreams that crash or cannot be reached, and silent
// streams.
#include <algorithm>
#include <utility>
#include <vector>

#include "foxquay/gateway/proxy.h"
#include "foxquay/log/log.h"
#include "foxquay/quarantine/parts.h"

namespace foxquay::gateway {
namespace internal {

/// Silence of a stream, between events or before the first one, after which the
/// upstreams on its path are suspected: several times the duration of a token
/// step or a prefill, and well below the silence after which it is moved.
constexpr core::Duration kMaxSilenceBetweenEvents =
    std::chrono::milliseconds(250);
constexpr core::Duration kMaxSilenceBeforeFirstEvent =
    std::chrono::milliseconds(500);

/// Minimum time between two reports of the same upstream as suspected.
constexpr core::Duration kSuspectInterval = std::chrono::milliseconds(1000);

/// Time for which a lost request waits for the result of a probe: several round
/// trips. A probe without a result does not show a process that has ended.
constexpr core::Duration kMaxCheckTime = std::chrono::milliseconds(200);

/// Time within which a connection that ends without a response was closed by
/// the peer, as opposed to one that timed out.
constexpr core::Duration kClosedAtOnce = std::chrono::milliseconds(500);

}  // namespace internal

bool Proxy::Unfinished(const Job& job) {
  if (job.failure == net::Failure::kMalformed) return false;
  return !job.head_at || job.status / 100 == 2;
}

void Proxy::HandleLoss(core::RequestId id, const relay::Loss& loss) {
  // This may be the first event after the process was suspended.
  ReviewOutdated();
  Job& job = jobs_.at(id);
  const core::Instant now = net::SteadyNow();
  log::Write(log::Level::kInfo, "send_lost",
             {{"request", job.caller.id},
              {"loss", relay::Name(loss.kind)},
              {"connection", job.failure ? net::Name(*job.failure) : "open"},
              {"way", relay::FormatPath(relay_.Path(id))},
              {"fault", loss.fault_address},
              {"status", job.status},
              {"verdict", job.head_at ? Name(job.verdict) : ""},
              {"workspace", job.workspace},
              {"digest", job.digest},
              {"parts", quarantine::Format(job.caller.prompt_parts)},
              {"after_ms", core::ToMilliseconds(now - job.sent)},
              {"after_head_ms",
               job.head_at ? core::ToMilliseconds(now - *job.head_at) : 0},
              {"begun", job.head_at.has_value()},
              {"event_received", job.event_received},
              {"events", job.filter ? job.filter->passed() : 0}});
  if (loss.kind == relay::LossKind::kNotSent && !relay_.ViaPartner(id)) {
    ReportSuspect(relay_.Path(id).front().upstream, now);
  }
  registry_.Add("foxquay_losses_total",
                "kind=\"" + std::string(relay::Name(loss.kind)) + "\"");
  if (job.head_at && !job.event_received) {
    registry_.Add("foxquay_losses_before_first_event_total", "");
  }
  if (job.hedge) {
    ContinueWithHedge(id, loss);
    return;
  }
  if (job.filter) job.filter->Restart();
  if (const auto suspicion = relay_.SuspectCrash(id, loss)) {
    const bool waits = !relay_.ResumesUnchecked(id);
    if (waits) {
      job.unchecked_loss = {loss, now + internal::kMaxCheckTime};
      relay_.CloseHedging(id);
    }
    CheckCrash(id, *suspicion, waits ? job.sends : 0);
    if (waits) return;
  }
  Apply(id, relay_.HandleLoss(id, loss, now));
  Inquire();
}

void Proxy::Inquire() {
  ReportPathChanges();
  const core::Instant now = net::SteadyNow();
  for (const relay::Hop& hop : relay_.DueInquiries(now)) {
    if (relay_.upstreams().hold_offs().Active(hop.upstream, now)) continue;
    prober_.Probe(hop.upstream, hop.address,
                  [this, upstream = hop.upstream](ProbeResult result) {
                    RecordInquiry(upstream, result);
                  });
  }
}

void Proxy::RecordInquiry(const core::UpstreamId& upstream,
                          ProbeResult result) {
  // A connection that was opened, but not answered, shows neither.
  if (result == ProbeResult::kSilent) return;
  const bool reached =
      result == ProbeResult::kReached || result == ProbeResult::kReplaced;
  relay_.RecordInquiry(upstream, reached, net::SteadyNow());
  Inquire();
}

void Proxy::ReportPathChanges() {
  for (const relay::PathChange& change : relay_.TakePathChanges()) {
    log::Write(log::Level::kWarn,
               change.cut_off ? "upstreams_unreachable" : "upstreams_reachable",
               {{"service", change.service},
                {"upstreams", relay_.upstreams().Count(change.service)},
                {"all_services", relay_.CutOff()}});
    registry_.Add("foxquay_path_changes_total",
                  change.cut_off ? "change=\"lost\"" : "change=\"regained\"");
  }
  registry_.Set("foxquay_cut_off", relay_.CutOff() ? 1 : 0);
}

void Proxy::ReportOverload() {
  for (const relay::OverloadChange& change : relay_.TakeOverloadChanges()) {
    log::Write(log::Level::kWarn, "overload",
               {{"service", change.service},
                {"overloaded", change.overloaded},
                {"use", change.use}});
    registry_.Set(
        "foxquay_overloaded{service=\"" + change.service.value() + "\"}",
        change.overloaded ? 1 : 0);
  }
}

void Proxy::ReportSuspect(const core::UpstreamId& upstream, core::Instant now) {
  if (suspected_.try_emplace(upstream, now).second) on_suspects_({upstream});
}

void Proxy::CheckCrash(core::RequestId id, const relay::Suspicion& suspicion,
                       unsigned sends) {
  // A process that ended refuses connections, one that only broke off an answer
  // does not; no answer at all shows a lost path or a lost machine.
  const auto finish = [this, id, suspicion, sends](ProbeResult result) {
    const bool crashed =
        result == ProbeResult::kUnreachable || result == ProbeResult::kReplaced;
    log::Write(log::Level::kInfo, "crash_checked",
               {{"request", suspicion.request},
                {"upstream", suspicion.upstream},
                {"address", suspicion.address},
                {"workspace", suspicion.workspace},
                {"parts", quarantine::Format(suspicion.parts)},
                {"begun", suspicion.begun},
                {"result", Name(result)},
                {"crashed", crashed}});
    RecordInquiry(suspicion.upstream, result);
    if (crashed) {
      const core::Instant now = net::SteadyNow();
      registry_.Add("foxquay_crashes_total",
                    suspicion.begun ? "begun=\"true\"" : "begun=\"false\"");
      relay_.RecordCrash(id, suspicion, now);
      ReportSuspect(suspicion.upstream, now);
    }
    FinishCheck(id, sends, crashed);
  };
  ProbeAfterLoss(suspicion.upstream, suspicion.address, finish);
}

void Proxy::FinishCheck(core::RequestId id, unsigned sends, bool crashed) {
  ReviewOutdated();
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (job.sends != sends || !job.unchecked_loss) return;
  relay::Loss loss = std::exchange(job.unchecked_loss, std::nullopt)->loss;
  // A host that is cut off cannot tell whether an upstream still runs.
  loss.crashed = crashed && !relay_.CutOff(relay_.Context(id).service->id);
  Apply(id, relay_.HandleLoss(id, loss, net::SteadyNow()));
}

void Proxy::ExpireChecks(core::Instant now) {
  std::vector<std::pair<core::RequestId, unsigned>> expired;
  for (const auto& [id, job] : jobs_) {
    if (job.unchecked_loss && now >= job.unchecked_loss->until) {
      expired.emplace_back(id, job.sends);
    }
  }
  for (const auto& [id, sends] : expired) FinishCheck(id, sends, false);
  expired.clear();
  for (const auto& [id, job] : jobs_) {
    if (job.unchecked_end && now >= *job.unchecked_end) {
      expired.emplace_back(id, job.sends);
    }
  }
  for (const auto& [id, sends] : expired) FinishEndCheck(id, sends, false);
}

void Proxy::CheckEnd(core::RequestId id) {
  Job& job = jobs_.at(id);
  const relay::Hop& hop = relay_.Path(id).front();
  job.unchecked_end = net::SteadyNow() + internal::kMaxCheckTime;
  registry_.Add("foxquay_ends_checked_total", "");
  const auto finish = [this, id, upstream = hop.upstream, sends = job.sends,
                       request = job.caller.id](ProbeResult result) {
    log::Write(log::Level::kInfo, "end_checked",
               {{"request", request},
                {"upstream", upstream},
                {"result", Name(result)}});
    RecordInquiry(upstream, result);
    FinishEndCheck(id, sends,
                   result == ProbeResult::kUnreachable ||
                       result == ProbeResult::kReplaced);
  };
  ProbeAfterLoss(hop.upstream, hop.address, finish);
}

void Proxy::FinishEndCheck(core::RequestId id, unsigned sends, bool crashed) {
  ReviewOutdated();
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (job.sends != sends || !job.unchecked_end) return;
  job.unchecked_end.reset();
  // A host that is cut off cannot tell whether an upstream still runs.
  if (!crashed || relay_.CutOff(relay_.Context(id).service->id)) {
    FinishAnswer(id);
    return;
  }
  if (job.passing_body) {
    BreakOff(id);
    return;
  }
  job.ended_between_events = job.streaming;
  HandleLoss(id, {relay::LossKind::kCut, job.fault_address, Unfinished(job)});
}

void Proxy::ProbeAfterLoss(const core::UpstreamId& upstream,
                           const std::string& address,
                           const Prober::Done& done) {
  // An upstream that ends with many requests is probed once.
  const auto [waiting, first] = loss_probes_.try_emplace(upstream);
  waiting->second.push_back(done);
  if (!first) return;
  const auto finish = [this, upstream](ProbeResult result) {
    const auto probed = loss_probes_.extract(upstream);
    for (const Prober::Done& each : probed.mapped()) each(result);
  };
  const core::Instant start = net::SteadyNow();
  prober_.Probe(upstream, address,
                [this, upstream, address, start, finish](ProbeResult result) {
                  // The listener of a process that ends may accept one more
                  // connection and close it.
                  const bool closed =
                      result == ProbeResult::kSilent &&
                      net::SteadyNow() - start < internal::kClosedAtOnce;
                  if (!closed) {
                    finish(result);
                    return;
                  }
                  prober_.Probe(upstream, address, finish);
                });
}

core::Duration Proxy::StallTime(core::RequestId id, const Job& job) {
  // The other host moves the stream.
  if (relay_.ViaPartner(id)) return core::Duration::max();
  const auto& hops = relay_.Path(id);
  // A silent stream is moved earlier if an upstream on its path is no longer in
  // use.
  const bool upstream_gone =
      std::any_of(hops.begin(), hops.end(), [this](const relay::Hop& hop) {
        return !relay_.upstreams().Known(hop.upstream);
      });
  return upstream_gone ? internal::kMaxSilenceBetweenEvents : job.stall_timeout;
}

void Proxy::MoveStalledStreams(core::Instant now) {
  std::vector<core::RequestId> ids;
  for (const auto& [id, job] : jobs_) {
    const bool open =
        job.call && !job.passing_body &&
        relay_.Context(id).route->kind == schema::RequestKind::kStream;
    if (open && now - job.last_event >= StallTime(id, job)) ids.push_back(id);
  }
  for (const core::RequestId id : ids) {
    Job& job = jobs_.at(id);
    const std::string previous_path = relay::FormatPath(relay_.Path(id));
    const std::optional<relay::Send> send = relay_.Move(id, now);
    if (!send) continue;
    log::Write(log::Level::kInfo, "stream_moved",
               {{"request", job.caller.id},
                {"from", previous_path},
                {"quiet_ms", core::ToMilliseconds(now - job.last_event)},
                {"events", job.filter ? job.filter->passed() : 0}});
    client_.Cancel(*job.call);
    by_call_.erase(*job.call);
    job.call.reset();
    if (job.filter) job.filter->Restart();
    Execute(id, *send);
  }
}

void Proxy::ReportSuspects(core::Instant now) {
  std::erase_if(suspected_, [now](const auto& item) {
    return now - item.second > internal::kSuspectInterval;
  });
  std::vector<core::UpstreamId> suspects;
  for (const auto& [id, job] : jobs_) {
    if (!job.call || relay_.ViaPartner(id)) continue;
    if (!job.head_at &&
        now - job.sent >= internal::kMaxSilenceBeforeFirstEvent) {
      relay_.RecordSilence(id, now);
    }
    if (relay_.Context(id).route->kind != schema::RequestKind::kStream) {
      continue;
    }
    const core::Duration max_silence =
        job.streaming && job.filter->passed() > 0
            ? internal::kMaxSilenceBetweenEvents
            : internal::kMaxSilenceBeforeFirstEvent;
    if (now - job.last_event < max_silence) continue;
    for (const relay::Hop& hop : relay_.Path(id)) {
      if (suspected_.try_emplace(hop.upstream, now).second) {
        suspects.push_back(hop.upstream);
      }
    }
  }
  if (!suspects.empty()) on_suspects_(std::move(suspects));
}

}  // namespace foxquay::gateway
