#ifndef FOXQUAY_TESTS_FOXQUAY_GATEWAY_PROXY_FIXTURE_H_
#define FOXQUAY_TESTS_FOXQUAY_GATEWAY_PROXY_FIXTURE_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/gateway/proxy.h"

namespace foxquay::gateway {

inline constexpr std::chrono::seconds kTimeout{10};

/// An upstream whose responses the test sends.
struct FakeUpstream {
  explicit FakeUpstream(boost::asio::io_context& context)
      : server(context, {[this](net::ExchangeId id, net::Request&& request) {
                           requests.emplace_back(id, std::move(request));
                         },
                         [this](net::ExchangeId) { ++disconnected; }}) {
    REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
  }

  std::vector<std::pair<net::ExchangeId, net::Request>> requests;
  int disconnected = 0;
  net::Server server;
};

/// What the caller received in response to one request.
struct CallResult {
  unsigned status = 0;
  net::Fields fields;
  std::string body;
  bool ended = false;
  std::optional<net::Failure> failure;
};

/// Returns a protocol with the plain fields Name, Key, Workspace, Expected,
/// After, Parts, Not-Run, Leaving and Pause. Successes are signed, and other
/// responses with the field Stamp, but none with the field Unsigned.
inline Protocol MakeProtocol() {
  Protocol protocol;
  protocol.id_field = "Name";
  protocol.read_caller = [](const net::Request& request) {
    CallerInfo caller;
    caller.id = request.fields["Name"].to_string();
    caller.key = request.fields["Key"].to_string();
    std::istringstream parts(request.fields["Parts"].to_string());
    for (std::string part; std::getline(parts, part, ',');) {
      caller.prompt_parts.emplace_back(part);
    }
    if (request.fields.find("After") != request.fields.end()) {
      caller.resume_after = std::stoull(request.fields["After"].to_string());
    }
    return caller;
  };
  protocol.write_forwarding = [](net::Fields& fields,
                                 const ForwardingInfo& forwarding) {
    fields.erase("Key");
    fields.set("Workspace", forwarding.workspace.value());
    fields.set("Expected", forwarding.hops.front().upstream.value());
    if (forwarding.resume_after) {
      fields.set("After", std::to_string(*forwarding.resume_after));
    }
  };
  protocol.read_response = [](unsigned status, const net::Fields& fields) {
    ResponseInfo info;
    info.not_run = fields.find("Not-Run") != fields.end();
    const bool stamped = fields.find("Stamp") != fields.end();
    info.is_signed = (status / 100 == 2 || stamped) &&
                     fields.find("Unsigned") == fields.end();
    info.is_encoded = fields.find("Content-Encoding") != fields.end();
    info.leaving = fields.find("Leaving") != fields.end();
    if (fields.find("Pause") != fields.end()) {
      info.hold_off = std::chrono::seconds(5);
    }
    return info;
  };
  protocol.write_relaying = [](net::Fields& fields, const RelayingInfo& info) {
    if (info.resume_after) {
      fields.set("After", std::to_string(*info.resume_after));
    }
  };
  protocol.remove_statements = [](net::Fields& fields) {
    fields.erase("Leaving");
  };
  protocol.write_inquiry = [](const core::UpstreamId&) {
    net::Request request;
    request.method = "GET";
    request.target = "/report";
    request.fields.set("Host", "upstream");
    return request;
  };
  return protocol;
}

inline schema::Route MakeRoute(const std::string& prefix,
                               schema::RequestKind kind) {
  schema::Route route;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.resumable = kind == schema::RequestKind::kStream;
  route.max_attempts = 2;
  route.timeout = std::chrono::seconds(5);
  route.target_latency = std::chrono::milliseconds(300);
  route.services.push_back({core::ServiceId("app"), 1});
  return route;
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Returns a lease on a configuration that has just been confirmed.
inline Lease ValidLease() {
  const core::Instant now = net::LeaseNow();
  const core::Instant end = now + std::chrono::hours(1);
  return {now, end, end, end};
}

/// Returns a lease that is valid on a configuration that may be outdated.
inline Lease OutdatedLease() {
  const core::Instant now = net::LeaseNow();
  const core::Instant confirmed = now - std::chrono::seconds(3);
  return {confirmed, now, now, confirmed + std::chrono::hours(1)};
}

/// A caller, a proxy and two upstreams on one thread.
struct ProxyFixture {
  ProxyFixture() {
    schema::Fleet fleet;
    fleet.version = 3;
    fleet.services.push_back({core::ServiceId("app"), 10, std::nullopt});
    fleet.routes = {MakeRoute("/once/", schema::RequestKind::kAtMostOnce),
                    MakeRoute("/safe/", schema::RequestKind::kRepeatable),
                    MakeRoute("/stream/", schema::RequestKind::kStream),
                    MakeRoute("/live/", schema::RequestKind::kStream)};
    fleet.routes.back().resumable = false;
    fleet.workspaces.push_back(
        {core::WorkspaceId("w"), {"secret"}, std::nullopt});
    table = std::make_shared<const fleet::Table>(fleet);
    Start(proxy);
    proxy.SetUpstreams({Announce("a", a), Announce("b", b)});
  }

  void Start(Proxy& started) const {
    REQUIRE_FALSE(started.Listen("127.0.0.1:0"));
    started.SetFleet(table);
    started.SetLease(ValidLease());
    started.SetHosts(1);
  }

  static schema::Announcement Announce(const std::string& id,
                                       const FakeUpstream& upstream) {
    schema::Announcement announcement;
    announcement.id = core::UpstreamId(id);
    announcement.address = upstream.server.address();
    announcement.kind = "service";
    announcement.service = core::ServiceId("app");
    announcement.slots = 4;
    return announcement;
  }

  /// Returns an announcement whose address refuses connections. The port of a
  /// listener that was closed may be taken by the next one.
  [[nodiscard]] schema::Announcement Unreachable(const std::string& id) const {
    schema::Announcement announcement = Announce(id, a);
    announcement.address = "127.0.0.1:1";
    return announcement;
  }

  net::CallId Send(const std::string& target, const std::string& key = "secret",
                   const std::string& parts = "") {
    net::Request request;
    request.method = "POST";
    request.target = target;
    request.fields.set("Host", "h");
    request.fields.set("Name", "r1");
    request.fields.set("Key", key);
    if (!parts.empty()) request.fields.set("Parts", parts);
    request.body = "payload";
    return caller.Call(proxy.address(), net::Serialize(request),
                       {false, "", ""});
  }

  /// Runs the event loop until a condition holds; fails after kTimeout.
  void RunUntil(const std::function<bool()>& condition) {
    const auto end = net::SteadyNow() + kTimeout;
    while (!condition() && net::SteadyNow() < end) {
      context.run_one_for(std::chrono::milliseconds(5));
      for (Proxy* each : proxies) each->Review();
    }
    REQUIRE(condition());
  }

  void RunFor(core::Duration duration) {
    const auto end = net::SteadyNow() + duration;
    while (net::SteadyNow() < end) {
      context.run_one_for(std::chrono::milliseconds(5));
      for (Proxy* each : proxies) each->Review();
    }
  }

  const CallResult& AwaitResponse(net::CallId call) {
    RunUntil([&] { return results[call].ended || results[call].failure; });
    return results[call];
  }

  /// Runs until an upstream has received a request, and returns it.
  FakeUpstream& FirstReached() {
    RunUntil([this] { return !a.requests.empty() || !b.requests.empty(); });
    return a.requests.empty() ? b : a;
  }

  FakeUpstream& Other(const FakeUpstream& upstream) {
    return &upstream == &a ? b : a;
  }

  std::shared_ptr<const fleet::Table> table;
  boost::asio::io_context context;
  FakeUpstream a{context};
  FakeUpstream b{context};
  metrics::Registry registry;
  Proxy proxy{context,
              MakeProtocol(),
              {0.2, 200, std::chrono::seconds(10)},
              registry,
              1,
              [](const std::vector<core::UpstreamId>&) {}};
  std::vector<Proxy*> proxies{&proxy};
  std::map<net::CallId, CallResult> results;
  net::Client caller{
      context,
      {[this](net::CallId id, unsigned status, net::Fields&& fields) {
         results[id].status = status;
         results[id].fields = std::move(fields);
       },
       [this](net::CallId id, const std::string& data) {
         results[id].body += data;
       },
       [this](net::CallId id) { results[id].ended = true; },
       [this](net::CallId id, net::Failure failure) {
         results[id].failure = failure;
       }}};
};

inline net::Response Stream() {
  return net::MakeResponse(200, "text/event-stream", "");
}

/// Returns the requests of callers that an upstream has received.
inline std::ptrdiff_t Received(const FakeUpstream& upstream) {
  return std::count_if(
      upstream.requests.begin(), upstream.requests.end(),
      [](const auto& item) { return item.second.target != "/report"; });
}

/// Checks that a caller was told neither that its request has run nor that it
/// has not.
inline void CheckUnknown(const CallResult& result) {
  CHECK(result.status == 502);
  CHECK(result.fields.find("Stamp") == result.fields.end());
  CHECK(result.fields.find("Retry-After") == result.fields.end());
  CHECK(result.body.find("xxx") == std::string::npos);
}

}  // namespace foxquay::gateway

#endif  // FOXQUAY_TESTS_FOXQUAY_GATEWAY_PROXY_FIXTURE_H_
