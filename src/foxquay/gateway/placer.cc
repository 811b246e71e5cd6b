#include "foxquay/gateway/placer.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "foxquay/log/log.h"

namespace foxquay::gateway {
namespace internal {

/// Maximum size in bytes of the answer to an order or an inquiry; several times
/// that of a report with all models of a fleet.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 10U;

const char* OutcomeName(placement::OrderOutcome outcome) {
  switch (outcome) {
    case placement::OrderOutcome::kAccepted:
      return "accepted";
    case placement::OrderOutcome::kMismatch:
      return "mismatch";
    case placement::OrderOutcome::kFenced:
      return "fenced";
    case placement::OrderOutcome::kRefused:
      return "refused";
    case placement::OrderOutcome::kUnanswered:
      return "unanswered";
  }
  return "";
}

const char* LimitName(placement::Limit limit) {
  switch (limit) {
    case placement::Limit::kMissingLayer:
      return "missing-layer";
    case placement::Limit::kMemory:
      return "memory";
    case placement::Limit::kSlots:
      return "slots";
  }
  return "";
}

}  // namespace internal

Placer::Placer(boost::asio::io_context& context, const Protocol& protocol,
               relay::HoldOffs& hold_offs, LayersHandler on_layers)
    : protocol_(protocol),
      hold_offs_(hold_offs),
      on_layers_(std::move(on_layers)),
      client_(
          context,
          {[this](net::CallId id, unsigned status, net::Fields&& fields) {
             HandleHead(id, status, fields);
           },
           [this](net::CallId id, const std::string& data) {
             HandleData(id, data);
           },
           [this](net::CallId id) { FinishCall(id, true); },
           [this](net::CallId id, net::Failure) { FinishCall(id, false); }}),
      prober_(
          context, protocol,
          [this](const core::UpstreamId& upstream, const ResponseInfo& info) {
            RecordStatements(upstream, info);
          }) {}

void Placer::HandleHead(net::CallId id, unsigned status,
                        const net::Fields& fields) {
  Call& call = calls_.at(id);
  call.status = status;
  RecordStatements(call.upstream, protocol_.read_response(status, fields));
}

void Placer::RecordStatements(const core::UpstreamId& upstream,
                              const ResponseInfo& info) {
  if (!info.hold_off) return;
  if (!hold_offs_.Record(upstream, net::SteadyNow() + *info.hold_off)) return;
  log::Write(log::Level::kInfo, "upstream_declines",
             {{"request", ""},
              {"upstream", upstream},
              {"leaving", info.leaving},
              {"hold_off_ms", core::ToMilliseconds(*info.hold_off)}});
}

void Placer::HandleData(net::CallId id, const std::string& data) {
  std::string& body = calls_.at(id).body;
  body += data;
  if (body.size() <= internal::kMaxBodyBytes) return;
  client_.Cancel(id);
  FinishCall(id, false);
}

void Placer::Probe(const schema::Announcement& upstream,
                   std::function<void(bool)> done) {
  // Its earlier answer does not show that it still runs.
  if (hold_offs_.Active(upstream.id, net::SteadyNow())) return;
  prober_.Probe(upstream.id, upstream.address,
                [done = std::move(done)](ProbeResult result) {
                  done(result == ProbeResult::kReached);
                });
}

void Placer::SetLeadership(bool leads, std::uint64_t term) {
  leads_ = leads;
  term_ = term;
  for (auto& [service, reconciler] : reconcilers_) {
    reconciler.SetLeadership(leads, term, net::SteadyNow());
  }
}

void Placer::SetFleet(std::shared_ptr<const fleet::Table> table) {
  table_ = std::move(table);
  const core::Instant now = net::SteadyNow();
  for (const schema::Service& service : table_->fleet().services) {
    if (!service.engine || service.engine->layers == 0) continue;
    const auto [found, inserted] = reconcilers_.try_emplace(service.id);
    if (inserted) found->second.SetLeadership(leads_, term_, now);
  }
  UpdateReconcilers(now);
}

void Placer::SetUpstreams(std::vector<schema::Announcement> upstreams) {
  upstreams_ = std::move(upstreams);
  UpdateReconcilers(net::SteadyNow());
}

void Placer::UpdateReconcilers(core::Instant now) {
  if (table_ == nullptr) return;
  for (auto& [id, reconciler] : reconcilers_) {
    const schema::Service* service = table_->FindService(id);
    std::vector<schema::Announcement> service_upstreams;
    for (const schema::Announcement& announcement : upstreams_) {
      if (announcement.service == id) service_upstreams.push_back(announcement);
    }
    reconciler.SetUpstreams(service_upstreams,
                            service == nullptr ? std::nullopt : service->engine,
                            now);
  }
}

void Placer::Send(const core::ServiceId& service,
                  const placement::Action& action, core::Instant now) {
  std::string address;
  net::Request request;
  const core::UpstreamId upstream =
      std::visit([](const auto& typed) { return typed.upstream; }, action);
  if (hold_offs_.Active(upstream, now)) {
    Skip(service, action, now);
    return;
  }
  if (const auto* order = std::get_if<placement::Order>(&action)) {
    address = order->address;
    request = protocol_.write_order(*order);
    log::Write(log::Level::kInfo, "order_sent",
               {{"upstream", order->upstream},
                {"first", order->layers.first},
                {"end", order->layers.end},
                {"fence", order->fence},
                {"expected", order->expected}});
  } else {
    const auto& inquiry = std::get<placement::Inquiry>(action);
    address = inquiry.address;
    request = protocol_.write_inquiry(inquiry.upstream);
  }
  // Answers name no order: on a kept connection, that of an earlier one could
  // be taken for this one's.
  net::CallOptions options;
  options.reuse = false;
  options.keep = false;
  const net::CallId id =
      client_.Call(address, net::Serialize(request), options);
  calls_[id] = {service, action, now + kResponseTimeout, 0, {}, upstream};
}

void Placer::Skip(const core::ServiceId& service,
                  const placement::Action& action, core::Instant now) {
  placement::Reconciler& reconciler = reconcilers_.at(service);
  if (const auto* order = std::get_if<placement::Order>(&action)) {
    log::Write(log::Level::kInfo, "order_held",
               {{"upstream", order->upstream}});
    reconciler.HandleOrderOutcome(order->upstream,
                                  placement::OrderOutcome::kUnanswered, now);
    return;
  }
  reconciler.HandleReport(std::get<placement::Inquiry>(action).upstream,
                          std::nullopt, now);
}

void Placer::FinishCall(net::CallId id, bool answered) {
  const auto node = calls_.extract(id);
  const Call& call = node.mapped();
  const core::Instant now = net::SteadyNow();
  const auto reconciler = reconcilers_.find(call.service);
  if (reconciler == reconcilers_.end()) return;
  if (const auto* order = std::get_if<placement::Order>(&call.action)) {
    const placement::OrderOutcome outcome =
        answered ? protocol_.read_order(call.status)
                 : placement::OrderOutcome::kUnanswered;
    log::Write(log::Level::kInfo, "order_answered",
               {{"upstream", order->upstream},
                {"outcome", internal::OutcomeName(outcome)},
                {"status", call.status}});
    reconciler->second.HandleOrderOutcome(order->upstream, outcome, now);
    return;
  }
  const auto& inquiry = std::get<placement::Inquiry>(call.action);
  const auto report = answered && call.status == 200
                          ? protocol_.read_report(call.body)
                          : std::nullopt;
  log::Write(log::Level::kInfo, "inquiry_answered",
             {{"upstream", inquiry.upstream},
              {"answered", report.has_value()},
              {"orders", report ? report->orders : 0},
              {"busy", report && report->busy}});
  if (report && !report->busy) {
    std::optional<schema::LayerRange> layers;
    if (!report->layers.empty()) {
      layers = {report->layers.first, report->layers.end - 1};
    }
    on_layers_(inquiry.upstream, layers);
  }
  reconciler->second.HandleReport(inquiry.upstream, report, now);
}

void Placer::Review() {
  const core::Instant now = net::SteadyNow();
  client_.Sweep(now);
  prober_.Review(now);
  hold_offs_.Expire(now);
  std::vector<net::CallId> expired;
  for (const auto& [id, call] : calls_) {
    if (now >= call.deadline) expired.push_back(id);
  }
  for (const net::CallId id : expired) {
    client_.Cancel(id);
    FinishCall(id, false);
  }
  for (auto& [service, reconciler] : reconcilers_) {
    bool ordered = false;
    for (const placement::Action& action : reconciler.Tick(now)) {
      ordered = ordered || std::holds_alternative<placement::Order>(action);
      Send(service, action, now);
    }
    if (ordered) LogPlacement(service);
  }
}

void Placer::LogPlacement(const core::ServiceId& service) {
  std::vector<placement::CentreCapacity> centres =
      reconcilers_.at(service).Measure();
  std::vector<placement::CentreCapacity>& logged = logged_[service];
  for (const placement::CentreCapacity& centre : centres) {
    if (std::find(logged.begin(), logged.end(), centre) != logged.end()) {
      continue;
    }
    log::Write(log::Level::kInfo, "placement_planned",
               {{"service", service},
                {"data_centre", centre.data_centre},
                {"upstreams", centre.upstreams},
                {"copies", centre.copies},
                {"spares", centre.spares},
                {"requests", centre.capacity.requests},
                {"limit", internal::LimitName(centre.capacity.limit)},
                {"layer", centre.capacity.layer}});
  }
  logged = std::move(centres);
}

double Placer::HeldRequests() const {
  double requests = 0;
  if (!leads_) return requests;
  for (const auto& [service, reconciler] : reconcilers_) {
    for (const placement::CentreCapacity& centre : reconciler.Measure()) {
      requests += centre.capacity.requests;
    }
  }
  return requests;
}

}  // namespace foxquay::gateway
