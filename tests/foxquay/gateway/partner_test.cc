#include <catch2/catch.hpp>
#include <string>

#include "proxy_fixture.h"

namespace foxquay::gateway {
namespace {

/// A proxy whose upstreams a and b refuse connections, and another host with
/// the upstream c.
struct PartnerFixture : ProxyFixture {
  PartnerFixture() {
    Start(partner);
    REQUIRE_FALSE(partner.ListenForPartners("127.0.0.1:0"));
    partner.SetUpstreams({Announce("c", c)});
    proxies.push_back(&partner);
    proxy.SetUpstreams({Unreachable("a"), Unreachable("b")});
    proxy.SetPartners(core::HostId("self"),
                      {{core::HostId("partner"), partner.partner_address()}});
  }

  /// Runs until the partner's upstream has received a request; returns the
  /// last one.
  std::pair<net::ExchangeId, net::Request>& Reached(std::size_t count = 1) {
    RunUntil([&] { return c.requests.size() >= count; });
    return c.requests.back();
  }

  FakeUpstream c{context};
  FakeUpstream d{context};
  FakeUpstream e{context};
  metrics::Registry partner_registry;
  Proxy partner{context,
                MakeProtocol(),
                {0.2, 200, std::chrono::seconds(10)},
                partner_registry,
                2,
                [](const std::vector<core::UpstreamId>&) {}};
};

}  // namespace

// The host refused it, although others reached the upstreams.
TEST_CASE("a request of a host that is cut off is answered through another") {
  PartnerFixture fixture;
  const std::string target = GENERATE("/once/1", "/safe/1?q=2");
  const net::CallId call = fixture.Send(target);
  auto& [exchange, request] = fixture.Reached();
  CHECK(request.target == target);
  CHECK(request.body == "payload");
  CHECK(request.fields["Workspace"] == "w");
  CHECK(request.fields.find("Key") == request.fields.end());
  CHECK(request.fields.find(kPriorSendsField) == request.fields.end());
  net::Response response = net::MakeResponse(201, "text/plain", "done");
  response.fields.set("Stamp", "s");
  response.fields.set("Leaving", "1");
  fixture.c.server.Respond(exchange, response);
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == 201);
  CHECK(result.body == "done");
  CHECK(result.fields["Stamp"] == "s");
  // Only the host that sends to the upstream can heed it.
  CHECK(result.fields.find("Leaving") == result.fields.end());
  CHECK(fixture.proxy.relay().CutOff());
  CHECK(fixture.proxy.relay().size() == 0);
  CHECK(fixture.partner.relay().size() == 0);
}

// Requests ran by old configurations at hosts that control hosts answered late,
// although other hosts were up to date.
TEST_CASE("a request at an outdated host is answered through another") {
  PartnerFixture fixture;
  fixture.proxy.SetUpstreams({ProxyFixture::Announce("d", fixture.d)});
  fixture.proxy.SetLease(OutdatedLease());
  const std::string target = GENERATE("/once/1", "/safe/1", "/stream/1");
  const net::CallId call = fixture.Send(target);
  const net::ExchangeId exchange = fixture.Reached().first;
  if (target == "/stream/1") {
    fixture.c.server.Start(exchange, Stream());
    fixture.c.server.Send(exchange, Event(1));
    fixture.c.server.End(exchange);
  } else {
    fixture.c.server.Respond(exchange,
                             net::MakeResponse(201, "text/plain", "done"));
  }
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == (target == "/stream/1" ? 200 : 201));
  CHECK(result.ended);
  CHECK(fixture.d.requests.empty());
}

TEST_CASE("a request passed on to an outdated host is refused as not run") {
  PartnerFixture fixture;
  fixture.proxy.SetUpstreams({ProxyFixture::Announce("d", fixture.d)});
  fixture.proxy.SetLease(OutdatedLease());
  fixture.partner.SetLease(OutdatedLease());
  const net::CallId call = fixture.Send("/once/1");
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == 503);
  CHECK(result.fields.find("Retry-After") != result.fields.end());
  CHECK(fixture.c.requests.empty());
  CHECK(fixture.d.requests.empty());
}

// The copy of the upstreams turns old while a request is at one of them, which
// does not run it; another may have left meanwhile.
TEST_CASE("an outdated host sends no request to an upstream again") {
  PartnerFixture fixture;
  fixture.proxy.SetUpstreams({ProxyFixture::Announce("d", fixture.d),
                              ProxyFixture::Announce("e", fixture.e)});
  const net::CallId call = fixture.Send("/safe/1");
  fixture.RunUntil([&] {
    return fixture.d.requests.size() + fixture.e.requests.size() == 1;
  });
  fixture.proxy.SetLease(OutdatedLease());
  FakeUpstream& first = fixture.d.requests.empty() ? fixture.e : fixture.d;
  net::Response response = net::MakeResponse(503, "text/plain", "full");
  response.fields.set("Not-Run", "1");
  first.server.Respond(first.requests[0].first, response);
  const net::ExchangeId exchange = fixture.Reached().first;
  fixture.c.server.Respond(exchange,
                           net::MakeResponse(200, "text/plain", "done"));
  CHECK(fixture.AwaitResponse(call).body == "done");
  CHECK(fixture.d.requests.size() + fixture.e.requests.size() == 1);
}

TEST_CASE("a stream passes through another host event by event") {
  PartnerFixture fixture;
  const net::CallId call = fixture.Send("/stream/1");
  const net::ExchangeId exchange = fixture.Reached().first;
  fixture.c.server.Start(exchange, Stream());
  for (int event = 1; event <= 3; ++event) {
    fixture.c.server.Send(exchange, Event(event));
    const std::string last = "id: " + std::to_string(event) + "\n";
    fixture.RunUntil([&] {
      return fixture.results[call].body.find(last) != std::string::npos;
    });
  }
  fixture.c.server.End(exchange);
  CHECK(fixture.AwaitResponse(call).body == Event(1) + Event(2) + Event(3));
}

TEST_CASE("a stream whose other host ends goes on through the next one") {
  PartnerFixture fixture;
  FakeUpstream first(fixture.context);
  FakeUpstream second(fixture.context);
  fixture.proxy.SetPartners(
      core::HostId("self"),
      {{core::HostId("first"), first.server.address()},
       {core::HostId("second"), second.server.address()}});
  const net::CallId call = fixture.Send("/stream/1");
  fixture.RunUntil(
      [&] { return first.requests.size() + second.requests.size() == 1; });
  FakeUpstream& ended = first.requests.empty() ? second : first;
  FakeUpstream& next = first.requests.empty() ? first : second;
  // The key is checked there as well.
  CHECK(ended.requests[0].second.fields["Key"] == "secret");
  CHECK(ended.requests[0].second.fields[kPriorSendsField] == "0");
  ended.server.Start(ended.requests[0].first, Stream());
  ended.server.Send(ended.requests[0].first, Event(1));
  fixture.RunUntil([&] { return !fixture.results[call].body.empty(); });
  ended.server.Abort(ended.requests[0].first);
  fixture.RunUntil([&] { return next.requests.size() == 1; });
  CHECK(next.requests[0].second.fields["After"] == "1");
  CHECK(next.requests[0].second.fields[kPriorSendsField] == "1");
  next.server.Start(next.requests[0].first, Stream());
  next.server.Send(next.requests[0].first, Event(1) + Event(2));
  next.server.End(next.requests[0].first);
  CHECK(fixture.AwaitResponse(call).body == Event(1) + Event(2));
}

TEST_CASE("an unsafe request that another host has lost is not sent again") {
  PartnerFixture fixture;
  FakeUpstream first(fixture.context);
  FakeUpstream second(fixture.context);
  fixture.proxy.SetPartners(
      core::HostId("self"),
      {{core::HostId("first"), first.server.address()},
       {core::HostId("second"), second.server.address()}});
  const net::CallId call = fixture.Send("/once/1");
  fixture.RunUntil(
      [&] { return first.requests.size() + second.requests.size() == 1; });
  FakeUpstream& ended = first.requests.empty() ? second : first;
  ended.server.Abort(ended.requests[0].first);
  CHECK(fixture.AwaitResponse(call).status == 502);
  CHECK(first.requests.size() + second.requests.size() == 1);
}

// The second host did not know of the first send.
TEST_CASE("a refusal by another host does not promise what may have run") {
  PartnerFixture fixture;
  FakeUpstream first(fixture.context);
  FakeUpstream second(fixture.context);
  fixture.proxy.SetPartners(
      core::HostId("self"),
      {{core::HostId("first"), first.server.address()},
       {core::HostId("second"), second.server.address()}});
  const net::CallId call = fixture.Send("/safe/1");
  fixture.RunUntil(
      [&] { return first.requests.size() + second.requests.size() == 1; });
  FakeUpstream& ended = first.requests.empty() ? second : first;
  FakeUpstream& next = first.requests.empty() ? first : second;
  ended.server.Abort(ended.requests[0].first);
  fixture.RunUntil([&] { return next.requests.size() == 1; });
  next.server.Respond(
      next.requests[0].first,
      net::MakeRefusal(503, "not confirmed", std::chrono::seconds(1)));
  CHECK(fixture.AwaitResponse(call).status == 502);
  CHECK(fixture.results[call].fields.count("Retry-After") == 0);
}

TEST_CASE("a refusal by another host is passed on and is no answer") {
  PartnerFixture fixture;
  FakeUpstream host(fixture.context);
  fixture.proxy.SetPartners(core::HostId("self"),
                            {{core::HostId("host"), host.server.address()}});
  const unsigned status = GENERATE(429U, 503U);
  const net::CallId call = fixture.Send("/safe/1", "secret", "p,own");
  fixture.RunUntil([&] { return host.requests.size() == 1; });
  host.server.Respond(
      host.requests[0].first,
      net::MakeRefusal(status, "busy", std::chrono::seconds(1)));
  CHECK(fixture.AwaitResponse(call).status == status);
  CHECK(fixture.results[call].fields.count("Retry-After") == 1);
  CHECK_FALSE(fixture.proxy.relay().recorder().Trusts(
      core::ServiceId("app"), {core::PromptPartId("p")}, net::SteadyNow()));
}

TEST_CASE("a caller that leaves ends its request at the other host") {
  PartnerFixture fixture;
  const net::CallId call = fixture.Send("/safe/1");
  (void)fixture.Reached();
  fixture.caller.Cancel(call);
  fixture.RunUntil([&] { return fixture.c.disconnected == 1; });
  CHECK(fixture.partner.relay().size() == 0);
}

// Two hosts that are cut off must not pass a request back and forth.
TEST_CASE("a request is passed on once at most and then refused as not run") {
  PartnerFixture fixture;
  fixture.c.server.StopAccepting();
  fixture.partner.SetPartners(
      core::HostId("partner"),
      {{core::HostId("self"), fixture.partner.partner_address()}});
  for (int count = 0; count < 3; ++count) {
    CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == 503);
  }
  CHECK(fixture.partner_registry.Expose().find(
            "foxquay_relayed_total{direction=\"out\"}") == std::string::npos);
}

TEST_CASE("a host that is cut off like all others refuses at once") {
  PartnerFixture fixture;
  fixture.proxy.SetPartners(core::HostId("self"), {});
  (void)fixture.AwaitResponse(fixture.Send("/once/1"));
  fixture.RunUntil([&] { return fixture.proxy.relay().CutOff(); });
  const core::Instant start = net::SteadyNow();
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/2"));
  CHECK(result.status == 503);
  CHECK(result.fields.find("Retry-After") != result.fields.end());
  CHECK(net::SteadyNow() - start < std::chrono::milliseconds(150));
}

// What may have run is not promised as not run by another host.
TEST_CASE("a request that may have run is not refused as not run") {
  PartnerFixture fixture;
  fixture.c.server.StopAccepting();
  net::Request request;
  request.method = "POST";
  request.target = "/safe/1";
  request.fields.set("Host", "h");
  request.fields.set("Name", "r1");
  request.fields.set("Key", "secret");
  request.fields.set(kPriorSendsField, "1");
  const net::CallId call =
      fixture.caller.Call(fixture.partner.partner_address(),
                          net::Serialize(request), {false, "", ""});
  CHECK(fixture.AwaitResponse(call).status == 502);
}

// A caller could otherwise have its request refused.
TEST_CASE("the field of other hosts means nothing at the callers' listener") {
  ProxyFixture fixture;
  fixture.proxy.SetUpstreams({});
  net::Request request;
  request.method = "POST";
  request.target = "/safe/1";
  request.fields.set("Host", "h");
  request.fields.set("Name", "r1");
  request.fields.set("Key", "secret");
  request.fields.set(kPriorSendsField, "7");
  const net::CallId call = fixture.caller.Call(
      fixture.proxy.address(), net::Serialize(request), {false, "", ""});
  CHECK(fixture.AwaitResponse(call).status == 503);
}

TEST_CASE("a host sends to its upstreams again when it reaches them") {
  PartnerFixture fixture;
  const net::CallId first = fixture.Send("/safe/1");
  fixture.c.server.Respond(fixture.Reached().first,
                           net::MakeResponse(200, "text/plain", "ok"));
  CHECK(fixture.AwaitResponse(first).status == 200);
  FakeUpstream d(fixture.context);
  FakeUpstream e(fixture.context);
  schema::Announcement a = ProxyFixture::Announce("a", d);
  schema::Announcement b = ProxyFixture::Announce("b", e);
  fixture.proxy.SetUpstreams({a, b});
  // Both answer an inquiry.
  fixture.RunUntil([&] {
    for (FakeUpstream* upstream : {&d, &e}) {
      for (const auto& [exchange, request] : upstream->requests) {
        upstream->server.Respond(exchange,
                                 net::MakeResponse(200, "text/plain", ""));
      }
    }
    return !fixture.proxy.relay().CutOff();
  });
  const net::CallId second = fixture.Send("/safe/2");
  fixture.RunUntil([&] {
    return std::any_of(d.requests.begin(), d.requests.end(),
                       [](const auto& item) {
                         return item.second.target == "/safe/2";
                       }) ||
           std::any_of(e.requests.begin(), e.requests.end(),
                       [](const auto& item) {
                         return item.second.target == "/safe/2";
                       });
  });
  fixture.caller.Cancel(second);
  CHECK(fixture.c.requests.size() == 1);
}

}  // namespace foxquay::gateway
