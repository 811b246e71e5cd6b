// Statuses that promise callers that a request has not run.
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "proxy_fixture.h"

namespace foxquay::gateway {
namespace {

/// Returns a response as an upstream writes it that has run the request.
net::Response Failed(unsigned status, std::size_t bytes = 6) {
  net::Response response =
      net::MakeResponse(status, "text/plain", std::string(bytes, 'x'));
  response.fields.set("Stamp", "s");
  response.fields.set("Retry-After", "1");
  return response;
}

/// A proxy that reaches no upstream, and another host, `a`, whose responses the
/// test sends.
struct PartnerHostFixture : ProxyFixture {
  PartnerHostFixture() {
    proxy.SetUpstreams({Unreachable("c"), Unreachable("d")});
    proxy.SetPartners(core::HostId("self"),
                      {{core::HostId("a"), a.server.address()}});
  }
};

}  // namespace

// review/7: callers repeated a booking that had run, as they were told 503 or
// 429.
TEST_CASE("a status does not promise what the upstream has not stated") {
  ProxyFixture fixture;
  const std::string target = GENERATE("/once/1", "/live/1");
  const unsigned status = GENERATE(408U, 421U, 429U, 503U);
  // The larger one is passed on before its end if it is an answer.
  const std::size_t bytes = GENERATE(std::size_t{6}, std::size_t{300} << 10U);
  const bool is_signed = GENERATE(true, false);
  CAPTURE(target, status, bytes, is_signed);
  const net::CallId call = fixture.Send(target);
  FakeUpstream& upstream = fixture.FirstReached();
  net::Response response = Failed(status, bytes);
  if (!is_signed) response.fields.set("Unsigned", "1");
  upstream.server.Respond(upstream.requests[0].first, response);
  CheckUnknown(fixture.AwaitResponse(call));
  fixture.RunFor(std::chrono::milliseconds(20));
  CHECK(Received(upstream) + Received(fixture.Other(upstream)) == 1);
  CHECK(fixture.proxy.relay().size() == 0);
}

TEST_CASE("a signed statement that a request has not run is no proof of it") {
  ProxyFixture fixture;
  const unsigned status = GENERATE(421U, 429U, 503U);
  const bool is_signed = GENERATE(true, false);
  CAPTURE(status, is_signed);
  const net::CallId call = fixture.Send("/once/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  net::Response response = Failed(status);
  response.fields.set("Not-Run", "1");
  if (!is_signed) response.fields.erase("Stamp");
  upstream.server.Respond(upstream.requests[0].first, response);
  if (is_signed) {
    CheckUnknown(fixture.AwaitResponse(call));
    CHECK(Received(other) == 0);
    return;
  }
  fixture.RunUntil([&] { return Received(other) == 1; });
  other.server.Respond(other.requests.back().first,
                       net::MakeResponse(200, "text/plain", "ok"));
  CHECK(fixture.AwaitResponse(call).body == "ok");
}

TEST_CASE("another failure of an upstream is passed on unchanged") {
  ProxyFixture fixture;
  const unsigned status = GENERATE(400U, 404U, 500U, 504U);
  const net::CallId call = fixture.Send("/once/1");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Respond(upstream.requests[0].first, Failed(status));
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == status);
  CHECK(result.fields["Stamp"] == "s");
  CHECK(result.body == "xxxxxx");
}

// Callers repeat it in any case, but heed the time to return.
TEST_CASE("a failure of a request that may be repeated keeps its status") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Respond(upstream.requests[0].first, Failed(503));
  fixture.RunUntil([&] { return Received(other) == 1; });
  other.server.Respond(other.requests.back().first, Failed(503));
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == 503);
  CHECK(result.fields["Stamp"] == "s");
}

// A host of the build before passes on what its upstream has answered.
TEST_CASE("a signed refusal that another host passes on is not its own") {
  PartnerHostFixture fixture;
  const unsigned status = GENERATE(408U, 421U, 429U, 503U);
  const std::size_t bytes = GENERATE(std::size_t{6}, std::size_t{300} << 10U);
  CAPTURE(status, bytes);
  const net::CallId call = fixture.Send("/once/1");
  fixture.RunUntil([&] { return Received(fixture.a) == 1; });
  fixture.a.server.Respond(fixture.a.requests[0].first, Failed(status, bytes));
  CheckUnknown(fixture.AwaitResponse(call));
  CHECK(fixture.proxy.relay().size() == 0);
}

TEST_CASE("a refusal of another host's own reaches the caller") {
  PartnerHostFixture fixture;
  const net::CallId call = fixture.Send("/once/1");
  fixture.RunUntil([&] { return Received(fixture.a) == 1; });
  fixture.a.server.Respond(
      fixture.a.requests[0].first,
      net::MakeRefusal(503, "busy", std::chrono::seconds(1)));
  CHECK(fixture.AwaitResponse(call).status == 503);
  CHECK(fixture.results[call].fields.count("Retry-After") == 1);
}

}  // namespace foxquay::gateway
