#include "foxquay/gateway/proxy.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "proxy_fixture.h"
#include "raw_fixture.h"

namespace foxquay::gateway {

TEST_CASE("a request is forwarded without its key and the response returned") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/once/1?q=2");
  FakeUpstream& upstream = fixture.FirstReached();
  const net::Request& request = upstream.requests[0].second;
  CHECK(request.target == "/once/1?q=2");
  CHECK(request.body == "payload");
  CHECK(request.fields.find("Key") == request.fields.end());
  CHECK(request.fields["Workspace"] == "w");
  net::Response response = net::MakeResponse(201, "text/plain", "done");
  response.fields.set("Stamp", "s");
  upstream.server.Respond(upstream.requests[0].first, response);
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == 201);
  CHECK(result.body == "done");
  CHECK(result.fields["Stamp"] == "s");
}

TEST_CASE("unknown routes, unknown keys and an expired lease are rejected") {
  ProxyFixture fixture;
  CHECK(fixture.AwaitResponse(fixture.Send("/none/")).status == 404);
  CHECK(fixture.AwaitResponse(fixture.Send("/once/1", "wrong")).status == 401);
  fixture.proxy.SetLease(Lease{net::LeaseNow() - std::chrono::seconds(6),
                               net::LeaseNow() - std::chrono::seconds(4),
                               net::LeaseNow() - std::chrono::seconds(4),
                               net::LeaseNow() - std::chrono::seconds(1)});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/1"));
  CHECK(result.status == 503);
  CHECK(result.fields.find("Retry-After") != result.fields.end());
  CHECK(fixture.a.requests.empty());
  CHECK(fixture.b.requests.empty());
}

// Guards against requests that run with a revoked or an invented key, or
// without one, while no workspace has a key.
TEST_CASE("without any valid key only open routes are served") {
  ProxyFixture fixture;
  schema::Fleet fleet = fixture.table->fleet();
  fleet.version = 4;
  fleet.routes.push_back(MakeRoute("/open/", schema::RequestKind::kAtMostOnce));
  fleet.routes.back().open = true;
  const schema::Workspace nobody;
  const schema::Workspace keyless{core::WorkspaceId("w"), {}, std::nullopt};
  const schema::Workspace blank{core::WorkspaceId("w"), {""}, std::nullopt};
  fleet.workspaces = {GENERATE_COPY(nobody, keyless, blank)};
  fixture.proxy.SetFleet(std::make_shared<const fleet::Table>(fleet));
  for (const char* key : {"secret", "invented", ""}) {
    CAPTURE(key);
    CHECK(fixture.AwaitResponse(fixture.Send("/safe/1", key)).status == 401);
  }
  CHECK(fixture.a.requests.empty());
  CHECK(fixture.b.requests.empty());
  (void)fixture.Send("/open/1", "");
  CHECK(fixture.FirstReached().requests[0].second.target == "/open/1");
}

TEST_CASE("an at-most-once request is not retried after a lost connection") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/once/1");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Abort(upstream.requests[0].first);
  CHECK(fixture.AwaitResponse(call).status == 502);
  CHECK(fixture.Other(upstream).requests.empty());
}

TEST_CASE("a repeatable request is retried at the other upstream") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Abort(upstream.requests[0].first);
  fixture.RunUntil([&] { return !other.requests.empty(); });
  other.server.Respond(other.requests[0].first,
                       net::MakeResponse(200, "text/plain", "ok"));
  CHECK(fixture.AwaitResponse(call).body == "ok");
}

TEST_CASE("a stream cut inside an event is resumed within the same response") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  const net::ExchangeId first = upstream.requests[0].first;
  upstream.server.Start(first, Stream());
  upstream.server.Send(first, Event(1) + Event(2) + "id: 3\nda");
  fixture.RunUntil(
      [&] { return fixture.results[call].body == Event(1) + Event(2); });
  upstream.server.Abort(first);
  fixture.RunUntil([&] { return !other.requests.empty(); });
  CHECK(other.requests[0].second.fields["After"] == "2");
  const net::ExchangeId second = other.requests[0].first;
  other.server.Start(second, Stream());
  other.server.Send(second, Event(3) + Event(4));
  other.server.End(second);
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2) + Event(3) + Event(4));
}

TEST_CASE("a stream that cannot be resumed is aborted, not completed") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1");
  FakeUpstream& upstream = fixture.FirstReached();
  const net::ExchangeId first = upstream.requests[0].first;
  upstream.server.Start(first, Stream());
  upstream.server.Send(first, Event(1));
  fixture.RunUntil([&] { return fixture.results[call].body == Event(1); });
  fixture.proxy.SetUpstreams({});
  upstream.server.Abort(first);
  CHECK(fixture.AwaitResponse(call).failure == net::Failure::kCut);
}

// Work for a caller that has disconnected wastes capacity of the upstream.
TEST_CASE("the upstream's connection is closed when the caller disconnects") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/once/1");
  FakeUpstream& upstream = fixture.FirstReached();
  fixture.caller.Cancel(call);
  fixture.RunUntil([&] { return upstream.disconnected == 1; });
  CHECK(fixture.proxy.relay().size() == 0);
}

// After a restart of all hosts, callers retry before the configuration is
// confirmed. Rejecting them would fail their requests, as it was their only
// retry.
TEST_CASE("a request waits until the configuration is confirmed") {
  ProxyFixture fixture;
  fixture.proxy.SetLease(std::nullopt);
  const net::CallId call = fixture.Send("/safe/1");
  fixture.RunUntil([&] { return fixture.proxy.open_requests() == 1; });
  CHECK(fixture.a.requests.empty());
  CHECK(fixture.b.requests.empty());
  fixture.proxy.SetLease(ValidLease());
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Respond(upstream.requests[0].first,
                          net::MakeResponse(200, "text/plain", "ok"));
  CHECK(fixture.AwaitResponse(call).body == "ok");
}

// A host that had not confirmed its configuration for two seconds answered 404
// for a route that had been added.
TEST_CASE("an outdated configuration does not deny a route or a key") {
  ProxyFixture fixture;
  const core::Instant now = net::LeaseNow();
  fixture.proxy.SetLease(
      Lease{now - std::chrono::seconds(4), now - std::chrono::seconds(2),
            now + std::chrono::seconds(10), now + std::chrono::seconds(10)});
  const net::CallId route = fixture.Send("/none/1");
  const net::CallId key = fixture.Send("/safe/1", "wrong");
  const CallResult& no_route = fixture.AwaitResponse(route);
  CHECK(no_route.status == 503);
  CHECK(no_route.fields.find("Retry-After") != no_route.fields.end());
  CHECK(fixture.AwaitResponse(key).status == 503);
  // What the configuration allows is served as long as it is usable.
  const net::CallId served = fixture.Send("/safe/2");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Respond(upstream.requests[0].first,
                          net::MakeResponse(200, "text/plain", "ok"));
  CHECK(fixture.AwaitResponse(served).body == "ok");
  // A configuration that is confirmed meanwhile decides.
  const net::CallId waiting = fixture.Send("/none/2");
  fixture.RunUntil([&] { return fixture.proxy.open_requests() == 1; });
  fixture.proxy.SetLease(ValidLease());
  CHECK(fixture.AwaitResponse(waiting).status == 404);
}

// Hosts whose control hosts answered late ran requests by a configuration that
// was older than a change may take to be in force.
TEST_CASE("an outdated configuration allows no request") {
  ProxyFixture fixture;
  fixture.proxy.SetLease(OutdatedLease());
  CHECK(fixture.proxy.ready());
  const std::string target = GENERATE("/safe/1", "/once/1", "/stream/1");
  const net::CallId refused = fixture.Send(target);
  const CallResult& result = fixture.AwaitResponse(refused);
  CHECK(result.status == 503);
  CHECK(result.fields.find("Retry-After") != result.fields.end());
  CHECK(fixture.a.requests.empty());
  CHECK(fixture.b.requests.empty());
  // The configuration that is confirmed meanwhile decides, not the one that was
  // known when the request came.
  const net::CallId waiting = fixture.Send(target);
  fixture.RunUntil([&] { return fixture.proxy.open_requests() == 1; });
  schema::Fleet without_routes = fixture.table->fleet();
  without_routes.version = 4;
  without_routes.routes.clear();
  fixture.proxy.SetFleet(std::make_shared<const fleet::Table>(without_routes));
  fixture.proxy.SetLease(ValidLease());
  CHECK(fixture.AwaitResponse(waiting).status == 404);
  CHECK(fixture.a.requests.empty());
  CHECK(fixture.b.requests.empty());
}

// The upstream ends while it begins to answer: its connections close and no new
// one is accepted.
TEST_CASE("an upstream that crashes when it begins to answer is recorded") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1", "secret", "p,own");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Start(upstream.requests[0].first, Stream());
  fixture.RunFor(std::chrono::milliseconds(50));
  upstream.server.StopAccepting();
  upstream.server.Abort(upstream.requests[0].first);
  CHECK(fixture.AwaitResponse(call).status == 502);
  // Only inquired, to find out whether this host is cut off.
  for (const auto& [exchange, request] : fixture.Other(upstream).requests) {
    CHECK(request.target == "/report");
  }
  quarantine::Recorder& recorder = fixture.proxy.relay().recorder();
  fixture.RunUntil(
      [&] { return !recorder.Report(net::SteadyNow()).crashes.empty(); });
  const schema::UpstreamCrash crash =
      recorder.Report(net::SteadyNow()).crashes.front().crash;
  CHECK(quarantine::Includes(crash.parts, {core::PromptPartId("p")}));
  CHECK(crash.workspace == core::WorkspaceId("w"));
}

TEST_CASE("an upstream that only breaks an answer off has not crashed") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1", "secret", "p,own");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Start(upstream.requests[0].first, Stream());
  fixture.RunFor(std::chrono::milliseconds(50));
  upstream.server.Abort(upstream.requests[0].first);
  // The inquiry that checks it.
  fixture.RunUntil([&] { return upstream.requests.size() == 2; });
  CHECK(other.requests.empty());
  upstream.server.Respond(upstream.requests[1].first,
                          net::MakeResponse(200, "text/plain", ""));
  // The stream goes on at the other one.
  fixture.RunUntil([&] { return other.requests.size() == 1; });
  const net::ExchangeId second = other.requests[0].first;
  other.server.Start(second, Stream());
  other.server.Send(second, Event(1));
  other.server.End(second);
  CHECK(fixture.AwaitResponse(call).body == Event(1));
  quarantine::Recorder& recorder = fixture.proxy.relay().recorder();
  CHECK(recorder.Report(net::SteadyNow()).crashes.empty());
}

TEST_CASE("a caller may leave while its upstream is checked") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1", "secret", "p,own");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Start(upstream.requests[0].first, Stream());
  fixture.RunFor(std::chrono::milliseconds(50));
  upstream.server.Abort(upstream.requests[0].first);
  fixture.RunUntil([&] { return upstream.requests.size() == 2; });
  fixture.caller.Cancel(call);
  fixture.RunUntil([&] { return fixture.proxy.relay().size() == 0; });
  upstream.server.Respond(upstream.requests[1].first,
                          net::MakeResponse(200, "text/plain", ""));
  fixture.RunFor(std::chrono::milliseconds(100));
  CHECK(fixture.Other(upstream).requests.empty());
}

TEST_CASE("an upstream that says in an answer that it leaves gets no more") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1");
  FakeUpstream& upstream = fixture.FirstReached();
  const net::ExchangeId first = upstream.requests[0].first;
  net::Response head = Stream();
  head.fields.set("Leaving", "1");
  upstream.server.Start(first, head);
  upstream.server.Send(first, Event(1));
  fixture.RunUntil([&] { return fixture.results[call].body == Event(1); });
  // The stream that it has goes on.
  for (int count = 0; count < 6; ++count) (void)fixture.Send("/safe/1");
  FakeUpstream& other = fixture.Other(upstream);
  fixture.RunUntil([&] { return other.requests.size() >= 4; });
  CHECK(upstream.requests.size() == 1);
  upstream.server.End(first);
  CHECK(fixture.AwaitResponse(call).ended);
}

TEST_CASE("an upstream that asks for a pause with 503 gets no more") {
  ProxyFixture fixture;
  (void)fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  net::Response declined = net::MakeResponse(503, "text/plain", "");
  declined.fields.set("Not-Run", "1");
  declined.fields.set("Pause", "5");
  upstream.server.Respond(upstream.requests[0].first, declined);
  FakeUpstream& other = fixture.Other(upstream);
  fixture.RunUntil([&] { return other.requests.size() == 1; });
  for (int count = 0; count < 3; ++count) (void)fixture.Send("/safe/1");
  fixture.RunUntil([&] { return other.requests.size() == 4; });
  CHECK(upstream.requests.size() == 1);
}

// Guards against requests to an upstream that asked for a pause, or said that
// it leaves, in its answer to an inquiry.
TEST_CASE("what an upstream asks for in the answer to an inquiry is kept") {
  const std::string field = GENERATE("Pause", "Leaving");
  ProxyFixture fixture;
  (void)fixture.Send("/stream/1", "secret", "p,own");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Start(upstream.requests[0].first, Stream());
  fixture.RunFor(std::chrono::milliseconds(50));
  upstream.server.Abort(upstream.requests[0].first);
  fixture.RunUntil([&] { return upstream.requests.size() == 2; });
  REQUIRE(upstream.requests[1].second.target == "/report");
  net::Response declined = net::MakeResponse(503, "text/plain", "");
  declined.fields.set(field, "5");
  upstream.server.Respond(upstream.requests[1].first, declined);
  fixture.RunUntil([&] { return other.requests.size() == 1; });
  for (int count = 0; count < 3; ++count) (void)fixture.Send("/safe/1");
  fixture.RunUntil([&] { return fixture.proxy.open_requests() == 4; });
  fixture.RunFor(std::chrono::milliseconds(100));
  CHECK(other.requests.size() == 4);
  CHECK(upstream.requests.size() == 2);
}

namespace {

constexpr const char* kPlainHead = "HTTP/1.1 200 OK\r\nName: r1\r\n\r\n";
constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nName: r1\r\nContent-Type: "
    "text/event-stream\r\n\r\n";

}  // namespace

TEST_CASE("an answer without a length ends with its connection") {
  RawFixture fixture({{std::string(kPlainHead) + "whole"}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/1"));
  CHECK(result.status == 200);
  CHECK(result.body == "whole");
  CHECK(result.fields["Content-Length"] == "5");
}

TEST_CASE("a reset does not end an answer without a length") {
  RawFixture fixture({{std::string(kPlainHead) + "part", true}});
  CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == 502);
  CHECK(fixture.received == 1);
}

TEST_CASE("a stream without a length ends with its connection") {
  RawFixture fixture({{kStreamHead + Event(1) + Event(2)}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2));
}

TEST_CASE("a stream without a length that ends inside an event is resumed") {
  RawFixture fixture({{kStreamHead + Event(1) + "id: 2\nda"},
                      {kStreamHead + Event(2) + Event(3)}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2) + Event(3));
}

TEST_CASE("a stream without a length that is reset is resumed") {
  RawFixture fixture(
      {{kStreamHead + Event(1), true}, {kStreamHead + Event(2) + Event(3)}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2) + Event(3));
}

// The end of a process that has sent only the head of such an answer looks like
// an empty stream.
TEST_CASE("a stream without a length and without an event is not complete") {
  RawFixture fixture({{kStreamHead}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.status == 502);
}

// Each host that buffered an answer without an end would end for want of
// memory.
// Guards against callers that find the error of the next upstream in the middle
// of their stream, or whose stream ends as if it were complete.
TEST_CASE("a stream that goes on at an upstream that fails is broken off") {
  const std::string broken = std::string("HTTP/1.1 200 OK\r\nName: r1\r\n") +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text = "the model is not loaded";
  const std::string length =
      "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  const std::string second = GENERATE_COPY(
      "HTTP/1.1 500 Error\r\nName: r1\r\n" + length,
      "HTTP/1.1 503 Busy\r\nName: r1\r\nNot-Run: 1\r\n" + length,
      "HTTP/1.1 404 Not Found\r\nName: r1\r\nStamp: s\r\n" + length,
      "HTTP/1.1 200 OK\r\nName: r1\r\nContent-Type: text/plain\r\n" + length,
      "HTTP/1.1 500 Error\r\nName: r1\r\n\r\n" + text,
      // An error that claims to be a stream, in several forms.
      "HTTP/1.1 500 Error\r\nName: r1\r\nContent-Type: "
      "text/event-stream\r\n" +
          length,
      broken + "0\r\n\r\n", std::string(kStreamHead),
      kStreamHead + std::string("data: no id\n\n"), kStreamHead + Event(9),
      kStreamHead + text);
  CAPTURE(second);
  const std::string first = GENERATE_COPY(
      // The break comes inside an event, or between two.
      kStreamHead + Event(1) + Event(2) + "id: 3\nda",
      broken + "f\r\n" + Event(1) + "\r\n");
  RawFixture fixture({{first, true}, {second}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.body.find("model") == std::string::npos);
  CHECK(result.body.find("HTTP") == std::string::npos);
  CHECK(result.body.find("no id") == std::string::npos);
  CHECK(result.body.find(Event(9)) == std::string::npos);
  CHECK_FALSE((result.status == 200 && result.ended));
}

TEST_CASE("a caller that resumes after the last event gets no more") {
  RawFixture fixture({{std::string("HTTP/1.1 200 OK\r\nName: r1\r\n") +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.ended);
  CHECK(result.body.empty());
}

TEST_CASE("the answer to HEAD has no body") {
  RawFixture fixture(
      {{"HTTP/1.1 200 OK\r\nName: r1\r\nContent-Length: 9\r\n"
        "\r\n"}});
  net::CallOptions options;
  options.head_only = true;
  const net::CallId call = fixture.caller.Call(
      fixture.proxy.address(),
      "HEAD /once/1 HTTP/1.1\r\nHost: h\r\nName: r1\r\nKey: secret\r\n\r\n",
      options);
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.status == 200);
  CHECK(result.ended);
}

TEST_CASE("a large answer is passed on while it arrives") {
  const std::string body(std::size_t{3} << 20U, 'x');
  RawFixture fixture({{kPlainHead + body}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/1"));
  CHECK(result.status == 200);
  CHECK(result.ended);
  CHECK(result.body == body);
  // Sent in pieces: the length was not known when the first one was sent.
  CHECK(result.fields.find("Content-Length") == result.fields.end());
}

TEST_CASE("a large answer that is reset does not look complete") {
  RawFixture fixture(
      {{kPlainHead + std::string(std::size_t{3} << 20U, 'x'), true}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/safe/1"));
  CHECK_FALSE(result.ended);
  CHECK(result.failure);
  CHECK(fixture.proxy.relay().size() == 0);
}

TEST_CASE("a large error is not buffered") {
  RawFixture fixture({{"HTTP/1.1 500 Internal\r\nName: r1\r\n\r\n" +
                       std::string(std::size_t{3} << 20U, 'x')}});
  CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == 502);
}

TEST_CASE("an event that does not end is given up") {
  RawFixture fixture(
      {{kStreamHead + Event(1) + std::string(std::size_t{4} << 20U, 'x')}});
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
  CHECK(result.failure == net::Failure::kCut);
  CHECK(result.body == Event(1));
}

// Bytes that are no answer may come without end, in a head or a body.
TEST_CASE(
    "an endless head or body ends as what it is, and the next is served") {
  const std::string bytes(1000, 'x');
  const RawUpstream::Answer whole{std::string(kPlainHead) + "whole"};
  SECTION("a head, of a request that may run again") {
    RawFixture fixture({{"HTTP/1.1 200 OK\r\nName: ", false, bytes}, whole});
    CHECK(fixture.AwaitResponse(fixture.Send("/safe/1")).body == "whole");
  }
  SECTION("a head, of a request that may run once") {
    RawFixture fixture({{"HTTP/1.1 200 OK\r\nName: ", false, bytes}, whole});
    CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == 502);
    CHECK(fixture.received == 1);
    CHECK(fixture.AwaitResponse(fixture.Send("/once/2")).body == "whole");
  }
  SECTION("a body of an error") {
    RawFixture fixture(
        {{"HTTP/1.1 500 Error\r\nName: r1\r\n\r\n", false, bytes}, whole});
    CHECK(fixture.AwaitResponse(fixture.Send("/once/1")).status == 502);
    CHECK(fixture.AwaitResponse(fixture.Send("/once/2")).body == "whole");
  }
  SECTION("events of a stream without an end") {
    RawFixture fixture(
        {{kStreamHead, false, bytes}, {kStreamHead + Event(1) + Event(2)}});
    const CallResult& result = fixture.AwaitResponse(fixture.Send("/stream/1"));
    CHECK(result.status == 200);
    CHECK(result.body == Event(1) + Event(2));
  }
}

}  // namespace foxquay::gateway
