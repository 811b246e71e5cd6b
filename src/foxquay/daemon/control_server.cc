#include "foxquay/daemon/control_server.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/core/finding.h"
#include "foxquay/daemon/announcement_check.h"
#include "foxquay/daemon/clock.h"
#include "foxquay/fleet/sizes.h"
#include "foxquay/fleet/validate.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Timeout of a fleet change or read. Less than the second after which callers
/// try another host.
constexpr core::Duration kCallTimeout = std::chrono::milliseconds(800);

/// Why an announcement or a withdrawal is refused. Another control host may
/// know an upstream that is not known here.
constexpr const char* kCutOff = "this host is cut off from the others";
constexpr const char* kNotKnown = "the upstream is not known to this host";

constexpr unsigned kTooLarge = 413;

net::Response Empty() {
  return net::MakeResponse(200, "application/json", "{}");
}

net::Response Unavailable(const std::string& reason) {
  return net::MakeRefusal(503, reason, std::nullopt);
}

}  // namespace internal

ControlServer::ControlServer(boost::asio::io_context& context,
                             ControlNode& node,
                             const gateway::ControlProtocol& protocol,
                             std::uint32_t max_body_bytes)
    : context_(context),
      node_(node),
      protocol_(protocol),
      server_(context,
              {[this](net::ExchangeId exchange, net::Request&& request) {
                 HandleRequest(exchange, request);
               },
               [](net::ExchangeId) {}}) {
  net::ServerLimits limits;
  limits.max_body_bytes = max_body_bytes;
  server_.SetLimits(limits);
}

std::error_code ControlServer::Listen(const std::string& address) {
  return server_.Listen(address);
}

void ControlServer::HandleRequest(net::ExchangeId exchange,
                                  const net::Request& request) {
  const gateway::ControlCall call = protocol_.read(request);
  std::visit([&](const auto& content) { Handle(exchange, content); }, call);
}

void ControlServer::RespondLater(net::ExchangeId exchange,
                                 net::Response response) {
  boost::asio::post(context_, [this, exchange, response = std::move(response)] {
    server_.Respond(exchange, response);
  });
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::Announce& call) {
  if (!node_.AcceptsAnnouncements()) {
    server_.Respond(exchange, internal::Unavailable(internal::kCutOff));
    return;
  }
  const core::Findings findings =
      CheckAnnouncement(call.announcement, WallNow());
  if (!findings.empty()) {
    Handle(exchange, gateway::InvalidCall{400, findings});
    return;
  }
  if (call.announcement.leaving) {
    node_.Announce(call.announcement, [this, exchange] {
      RespondLater(exchange, internal::Empty());
    });
    return;
  }
  node_.Announce(call.announcement);
  server_.Respond(exchange, internal::Empty());
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::Withdraw& call) {
  if (!node_.AcceptsAnnouncements()) {
    server_.Respond(exchange, internal::Unavailable(internal::kCutOff));
    return;
  }
  log::Write(log::Level::kInfo, "upstream_withdrawn",
             {{"upstream", call.upstream}});
  node_.Withdraw(call.upstream, [this, exchange,
                                 upstream = call.upstream](bool known) {
    if (!known) {
      log::Write(log::Level::kWarn, "withdrawal_refused",
                 {{"upstream", upstream}, {"reason", internal::kNotKnown}});
    }
    RespondLater(exchange, known ? internal::Empty()
                                 : internal::Unavailable(internal::kNotKnown));
  });
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::ReplaceFleet& call) {
  core::Findings findings;
  schema::PutFleet command =
      fleet::MakePutCommand(call.fleet, call.source, findings);
  if (!findings.empty()) {
    Handle(exchange, gateway::InvalidCall{400, findings});
    return;
  }
  const core::Findings oversize = fleet::CheckSize(command);
  if (!oversize.empty()) {
    Handle(exchange, gateway::InvalidCall{internal::kTooLarge, oversize});
    return;
  }
  node_.PutFleet(
      std::move(command), internal::kCallTimeout,
      [this, exchange](const core::Result<schema::FleetResult>& put) {
        RespondLater(exchange,
                     put ? internal::Empty()
                         : internal::Unavailable("not known to be committed"));
      });
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::ReadFleet&) {
  node_.ReadFleet(
      internal::kCallTimeout,
      [this, exchange](const core::Result<std::string>& source) {
        const bool known = source && !source.value().empty();
        RespondLater(
            exchange,
            known ? net::MakeResponse(200, "application/json", source.value())
                  : internal::Unavailable("not known to be current"));
      });
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::FindEntries& call) {
  const http::EntryAnswer answer = node_.Entry(call.data_centre);
  std::vector<std::string> addresses;
  for (const http::EntryAddress& address : answer.addresses) {
    addresses.push_back(address.address);
  }
  if (addresses.empty()) {
    server_.Respond(exchange, internal::Unavailable("no host admits requests"));
    return;
  }
  server_.Respond(exchange, protocol_.write_entries(addresses, answer.ttl));
}

void ControlServer::Handle(net::ExchangeId exchange,
                           const gateway::InvalidCall& call) {
  for (const core::Finding& finding : call.findings) {
    log::Write(log::Level::kWarn, "call_refused",
               {{"status", call.status}, {"finding", core::Format(finding)}});
  }
  net::Response response = protocol_.write_findings(call.findings);
  response.status = call.status;
  server_.Respond(exchange, response);
}

}  // namespace foxquay::daemon
