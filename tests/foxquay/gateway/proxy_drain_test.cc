#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "proxy_fixture.h"

namespace foxquay::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A grace period at whose end the requests of the fixture have not reached
/// their deadline.
constexpr core::Duration kGrace = milliseconds(1000);

struct DrainFixture : ProxyFixture {
  void StartDrain() { proxy.StartDrain({net::SteadyNow(), kGrace}); }

  /// Returns the requests of callers that have reached the upstreams, without
  /// inquiries.
  std::size_t arrived() const {
    const auto count = [](const FakeUpstream& upstream) {
      return std::count_if(
          upstream.requests.begin(), upstream.requests.end(),
          [](const auto& item) { return item.second.target != "/report"; });
    };
    return static_cast<std::size_t>(count(a) + count(b));
  }

  /// Answers the requests with a target at whichever upstream has them.
  void Answer(const std::string& target) {
    for (FakeUpstream* upstream : {&a, &b}) {
      for (const auto& [exchange, request] : upstream->requests) {
        if (request.target != target) continue;
        upstream->server.Respond(exchange,
                                 net::MakeResponse(200, "text/plain", "ok"));
      }
    }
  }
};

}  // namespace

TEST_CASE("a draining host is not ready and asks callers to close") {
  DrainFixture fixture;
  const net::CallId call = fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  fixture.StartDrain();
  CHECK_FALSE(fixture.proxy.ready());
  upstream.server.Respond(upstream.requests[0].first,
                          net::MakeResponse(200, "text/plain", "ok"));
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.body == "ok");
  CHECK(result.fields["Connection"] == "close");
  CHECK(fixture.proxy.open_requests() == 0);
}

// They were open until the process ended, which closed their connections.
TEST_CASE("requests that are open at the end of a drain are answered") {
  DrainFixture fixture;
  const std::string target = GENERATE("/once/1", "/safe/1");
  const net::CallId call = fixture.Send(target);
  FakeUpstream& upstream = fixture.FirstReached();
  fixture.StartDrain();
  const net::CallId late = fixture.Send(target);
  const auto end = net::SteadyNow() + kGrace;
  CHECK(fixture.AwaitResponse(call).status == 502);
  CHECK(fixture.AwaitResponse(late).status == 502);
  CHECK(net::SteadyNow() < end);
  CHECK(fixture.arrived() == 2);
  fixture.RunUntil([&] { return upstream.disconnected > 0; });
  CHECK(fixture.proxy.relay().size() == 0);
  CHECK(fixture.proxy.open_requests() == 0);
}

TEST_CASE("a request that waits for a place in a drain is refused as not run") {
  DrainFixture fixture;
  fixture.proxy.SetUpstreams({});
  fixture.proxy.SetUpstreams({ProxyFixture::Announce("a", fixture.a)});
  std::vector<net::CallId> calls;
  calls.reserve(4);
  for (int count = 0; count < 4; ++count) {
    calls.push_back(fixture.Send("/once/1"));
  }
  fixture.RunUntil([&] { return fixture.arrived() == 4; });
  fixture.StartDrain();
  const net::CallId waiting = fixture.Send("/once/1");
  const CallResult& result = fixture.AwaitResponse(waiting);
  CHECK(result.status == 503);
  CHECK(result.fields.count("Retry-After") == 1);
  for (const net::CallId call : calls) {
    CHECK(fixture.AwaitResponse(call).status == 502);
  }
  CHECK(fixture.arrived() == 4);
}

TEST_CASE(
    "a stream that is open at the end of a drain does not look complete") {
  DrainFixture fixture;
  const net::CallId call = fixture.Send("/stream/1");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Start(upstream.requests[0].first, Stream());
  upstream.server.Send(upstream.requests[0].first, Event(1));
  fixture.RunUntil([&] { return !fixture.results[call].body.empty(); });
  fixture.StartDrain();
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.body == Event(1));
  CHECK_FALSE(result.ended);
  CHECK(fixture.proxy.open_requests() == 0);
}

// It was taken and cut off, although its requests usually last longer.
TEST_CASE("a request that usually outlasts the drain is refused at once") {
  DrainFixture fixture;
  const net::CallId slow = fixture.Send("/once/1");
  fixture.RunFor(kGrace);
  fixture.Answer("/once/1");
  CHECK(fixture.AwaitResponse(slow).status == 200);
  fixture.StartDrain();
  const core::Instant start = net::SteadyNow();
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/2"));
  CHECK(result.status == 503);
  CHECK(result.fields.count("Retry-After") == 1);
  CHECK(net::SteadyNow() - start < kGrace / 2);
  CHECK(fixture.arrived() == 1);
  // Other routes are served.
  const net::CallId other = fixture.Send("/safe/1");
  fixture.RunUntil([&] { return fixture.arrived() == 2; });
  fixture.Answer("/safe/1");
  CHECK(fixture.AwaitResponse(other).status == 200);
}

TEST_CASE("a request that waits for the configuration is refused in a drain") {
  DrainFixture fixture;
  fixture.proxy.SetLease(std::nullopt);
  fixture.StartDrain();
  const core::Instant start = net::SteadyNow();
  const CallResult& result = fixture.AwaitResponse(fixture.Send("/once/1"));
  CHECK(result.status == 503);
  CHECK(net::SteadyNow() - start < kGrace);
  CHECK(fixture.arrived() == 0);
}

}  // namespace foxquay::gateway
