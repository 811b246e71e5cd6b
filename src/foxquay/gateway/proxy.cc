#include "foxquay/gateway/proxy.h"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "foxquay/log/log.h"

namespace foxquay::gateway {
namespace internal {

/// Part of a caller's patience between two events after which a silent stream
/// goes on elsewhere; the rest is left for the new prompt.
constexpr double kStallPart = 0.6;

/// Shortest patience of callers between two events.
constexpr core::Duration kMinPatience = std::chrono::seconds(2);

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
  return core::Scale(patience, kStallPart);
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
  relay::RequestContext context;
  context.name = facts.id;
  context.table = table_;
  context.route = &route;
  std::uniform_real_distribution<double> draw;
  context.service =
      table_->FindService(fleet::PickService(route, draw(random_)));
  context.workspace = workspace;
  context.priority = rank;
  context.work = facts.work;
  context.arrived = now;
  context.deadline =
      now + std::min(route.timeout, facts.patience.value_or(route.timeout));
  context.resume_after = facts.resume_after;
  if (context.service->engine && facts.work.answer_tokens <= 0) {
    context.work.prompt_tokens = context.service->engine->usual_prompt;
    context.work.answer_tokens = context.service->engine->usual_answer;
  }
  Job& job = jobs_[id];
  job.exchange = exchange;
  job.request = std::move(request);
  job.stall = internal::StallOf(route);
  job.arrived = now;
  job.workspace = workspace;
  job.facts = std::move(facts);
  by_exchange_[exchange] = id;
  Follow(id, relay_.Arrive(id, std::move(context), now));
}

void Proxy::Reject(net::ExchangeId exchange, const CallerFacts& facts,
                   unsigned status, std::optional<core::Duration> retry_after,
                   std::string_view reason) {
  net::Response response = net::MakeRefusal(status, reason, retry_after);
  if (!facts.id.empty()) response.fields.set(dialect_.id_field, facts.id);
  registry_.Add("foxquay_rejected_total",
                "status=\"" + std::to_string(status) + "\"");
  log::Write(log::Level::kInfo, "request_rejected",
             {{"request", facts.id},
              {"status", status},
              {"fleet", table_ ? table_->version() : 0},
              {"reason", std::string(reason)}});
  server_.Respond(exchange, response);
}

}  // namespace foxquay::gateway
