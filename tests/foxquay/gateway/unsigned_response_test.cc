// Responses that look like a success and are not the upstream's answer.
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <utility>

#include "proxy_fixture.h"

namespace foxquay::gateway {
namespace {

/// How a response differs from the upstream's answer.
enum class Flaw { kUnsigned, kEncoded, kStatedNotRun };

net::Response Spoil(net::Response response, Flaw flaw) {
  switch (flaw) {
    case Flaw::kUnsigned:
      response.fields.set("Unsigned", "1");
      break;
    case Flaw::kEncoded:
      response.fields.set("Content-Encoding", "gzip");
      break;
    case Flaw::kStatedNotRun:
      response.fields.set("Not-Run", "1");
      break;
  }
  response.fields.set("Stamp", "s");
  return response;
}

net::Response Page(unsigned status = 200, std::size_t bytes = 9) {
  return net::MakeResponse(status, "text/html", std::string(bytes, 'x'));
}

net::Response Success() { return net::MakeResponse(200, "text/plain", "ok"); }

/// A proxy that reaches no upstream, and another host whose responses the test
/// sends.
struct PartnerHostFixture : ProxyFixture {
  PartnerHostFixture() {
    proxy.SetUpstreams({Unreachable("a"), Unreachable("b")});
    proxy.SetPartners(core::HostId("self"),
                      {{core::HostId("a"), a.server.address()},
                       {core::HostId("b"), b.server.address()}});
  }
};

}  // namespace

// review/9: callers got a web server's page as the success of their booking.
TEST_CASE("a success that is not the upstream's reaches no caller") {
  ProxyFixture fixture;
  const Flaw flaw =
      GENERATE(Flaw::kUnsigned, Flaw::kEncoded, Flaw::kStatedNotRun);
  const unsigned status = GENERATE(200U, 201U, 204U, 206U, 302U);
  // The larger one is passed on before its end if it is an answer.
  const std::size_t bytes = GENERATE(std::size_t{9}, std::size_t{300} << 10U);
  const net::CallId call = fixture.Send("/once/1");
  FakeUpstream& upstream = fixture.FirstReached();
  upstream.server.Respond(upstream.requests[0].first,
                          Spoil(Page(status, bytes), flaw));
  CheckUnknown(fixture.AwaitResponse(call));
  fixture.RunFor(std::chrono::milliseconds(50));
  CHECK(Received(upstream) + Received(fixture.Other(upstream)) == 1);
  CHECK(fixture.proxy.relay().size() == 0);
  CHECK(fixture.registry.Expose().find("foxquay_responses_rejected_total") !=
        std::string::npos);
}

TEST_CASE("a repeatable request without an answer is sent once more") {
  ProxyFixture fixture;
  const Flaw flaw =
      GENERATE(Flaw::kUnsigned, Flaw::kEncoded, Flaw::kStatedNotRun);
  const net::CallId call = fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Respond(upstream.requests[0].first, Spoil(Page(), flaw));
  fixture.RunUntil([&] { return Received(other) == 1; });
  SECTION("and answered") {
    other.server.Respond(other.requests.back().first, Success());
    CHECK(fixture.AwaitResponse(call).body == "ok");
  }
  SECTION("and the attempts of its route are spent") {
    other.server.Respond(other.requests.back().first, Spoil(Page(), flaw));
    CheckUnknown(fixture.AwaitResponse(call));
  }
  CHECK(Received(upstream) == 1);
  CHECK(Received(other) == 1);
}

TEST_CASE("the head of a stream that is not the upstream's is not passed on") {
  ProxyFixture fixture;
  const Flaw flaw = GENERATE(Flaw::kUnsigned, Flaw::kEncoded);
  const bool begun = GENERATE(false, true);
  const net::CallId call = fixture.Send("/stream/1");
  FakeUpstream* spoilt = &fixture.FirstReached();
  FakeUpstream* sound = &fixture.Other(*spoilt);
  if (begun) {
    // The stream goes on at the upstream whose head is not its own.
    std::swap(spoilt, sound);
    const net::ExchangeId first = sound->requests[0].first;
    sound->server.Start(first, Stream());
    sound->server.Send(first, Event(1) + "id: 2\nda");
    fixture.RunUntil([&] { return fixture.results[call].body == Event(1); });
    sound->server.Abort(first);
    fixture.RunUntil([&] { return Received(*spoilt) == 1; });
  }
  const std::ptrdiff_t before = Received(*sound);
  const net::ExchangeId exchange = spoilt->requests.back().first;
  spoilt->server.Start(exchange, Spoil(Stream(), flaw));
  spoilt->server.Send(exchange, "id: 2\ndata: foreign\n\n");
  fixture.RunUntil([&] { return Received(*sound) == before + 1; });
  const net::ExchangeId last = sound->requests.back().first;
  sound->server.Start(last, Stream());
  sound->server.Send(last, begun ? Event(2) : Event(1) + Event(2));
  sound->server.End(last);
  const CallResult& result = fixture.AwaitResponse(call);
  CHECK(result.ended);
  CHECK(result.body == Event(1) + Event(2));
}

TEST_CASE("what a response states that is not the upstream's is not believed") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/safe/1");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  net::Response page = Spoil(Page(), Flaw::kUnsigned);
  page.fields.set("Leaving", "1");
  page.fields.set("Pause", "1");
  upstream.server.Respond(upstream.requests[0].first, page);
  fixture.RunUntil([&] { return Received(other) == 1; });
  other.server.Respond(other.requests.back().first, Success());
  (void)fixture.AwaitResponse(call);
  for (int count = 0; count < 6; ++count) (void)fixture.Send("/safe/1");
  fixture.RunUntil([&] { return Received(upstream) > 1; });
}

TEST_CASE("a response that is not the upstream's shows no crash") {
  ProxyFixture fixture;
  const net::CallId call = fixture.Send("/stream/1", "secret", "p,own");
  FakeUpstream& upstream = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(upstream);
  upstream.server.Start(upstream.requests[0].first,
                        Spoil(Stream(), Flaw::kUnsigned));
  fixture.RunUntil([&] { return Received(other) == 1; });
  // Not inquired first.
  CHECK(upstream.requests.size() == 1);
  other.server.Respond(other.requests.back().first, Success());
  (void)fixture.AwaitResponse(call);
  CHECK(fixture.proxy.relay()
            .recorder()
            .Report(net::SteadyNow())
            .crashes.empty());
}

TEST_CASE("an upstream whose responses are never its own is avoided") {
  ProxyFixture fixture;
  FakeUpstream* broken = nullptr;
  std::size_t served = 0;
  constexpr std::size_t kRequests = 20;
  for (std::size_t count = 0; count < kRequests; ++count) {
    // Failures that come together count as one.
    fixture.RunFor(std::chrono::milliseconds(100));
    const net::CallId call = fixture.Send("/safe/1");
    fixture.RunUntil([&] {
      for (FakeUpstream* upstream : {&fixture.a, &fixture.b}) {
        for (; !upstream->requests.empty(); upstream->requests.pop_back()) {
          if (broken == nullptr) broken = upstream;
          const auto& [exchange, request] = upstream->requests.back();
          if (request.target == "/report") continue;
          served += upstream == broken ? 1 : 0;
          upstream->server.Respond(
              exchange,
              upstream == broken ? Spoil(Page(), Flaw::kUnsigned) : Success());
        }
      }
      return fixture.results[call].ended;
    });
    CHECK(fixture.results[call].body == "ok");
  }
  CHECK(served < kRequests / 2);
}

TEST_CASE("a success that another host passes on has to be signed") {
  PartnerHostFixture fixture;
  const Flaw flaw = GENERATE(Flaw::kUnsigned, Flaw::kEncoded);
  const std::string target = GENERATE("/once/1", "/safe/1");
  const net::CallId call = fixture.Send(target);
  FakeUpstream& host = fixture.FirstReached();
  FakeUpstream& other = fixture.Other(host);
  host.server.Respond(host.requests[0].first, Spoil(Page(), flaw));
  if (target == "/safe/1") {
    fixture.RunUntil([&] { return Received(other) == 1; });
    other.server.Respond(other.requests[0].first, Success());
    CHECK(fixture.AwaitResponse(call).body == "ok");
    return;
  }
  CheckUnknown(fixture.AwaitResponse(call));
  CHECK(Received(other) == 0);
}

}  // namespace foxquay::gateway
