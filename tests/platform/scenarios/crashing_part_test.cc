#include <catch2/catch.hpp>
#include <chrono>

#include "foxquay/net/clock.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests that a part may send to upstreams once it is known.
constexpr std::size_t kMaxLateRequests = 3;
constexpr std::size_t kKnownAfterCrashes = 5;

/// Sends sound streams that share their first part and their workspace with
/// streams that crash upstreams.
void SendMixedLoad(Scenario& scenario) {
  scenario.Repeat(milliseconds(40),
                  [&scenario] { scenario.SendStream("0a:40,0b:60"); });
  scenario.Repeat(milliseconds(400),
                  [&scenario] { scenario.SendStream("0a:40,dead:60"); });
}

/// Sends the load until the part is known, and returns the time from which
/// almost nothing with it may reach an upstream.
core::Instant AwaitKnown(Scenario& scenario) {
  scenario.AwaitServing();
  SendMixedLoad(scenario);
  scenario.RunUntil(
      [&] { return scenario.crashes().size() >= kKnownAfterCrashes; },
      seconds(10));
  scenario.RunFor(kContactBound);
  return net::SteadyNow();
}

}  // namespace

// Each request with the part ended the upstream that began to answer it, and
// was then sent to the next one.
TEST_CASE("requests with a part that crashes upstreams stop reaching them") {
  Scenario scenario({"dead"});
  const core::Instant known = AwaitKnown(scenario);
  scenario.RunFor(kContactBound);
  const unsigned served = scenario.served();
  scenario.RunFor(seconds(4));
  CHECK(scenario.ReachedAfter(known) <= kMaxLateRequests);
  // 100 sound streams are sent in this time.
  CHECK(scenario.served() - served >= 50);
  CHECK(scenario.violations().empty());
}

// Nothing was learned from an upstream that ended before the head of its
// answer, and a plain request has no parts to be known by.
TEST_CASE(
    "a request that crashes upstreams before its head stops reaching them") {
  using soak::RequestKind;
  const auto kind =
      GENERATE(RequestKind::kRead, RequestKind::kBook, RequestKind::kStream);
  CAPTURE(static_cast<int>(kind));
  const bool stream = kind == RequestKind::kStream;
  Scenario::Options options;
  options.crashing_target = "crash";
  options.models = 10;
  options.apps = stream ? 0 : 3;
  Scenario scenario(options);
  scenario.AwaitServing();
  const std::string target =
      std::string(stream                       ? "/stream"
                  : kind == RequestKind::kRead ? "/read"
                                               : "/book") +
      "/x?crash=1";
  scenario.Repeat(milliseconds(40), [&] {
    if (stream) return scenario.SendStream("0a:40,0b:60");
    scenario.SendPlain("read", 0);
    scenario.SendPlain("book", 1);
  });
  scenario.Repeat(milliseconds(250), [&] { scenario.SendSame(kind, target); });
  scenario.RunUntil([&] { return scenario.crashes().size() >= 3; },
                    seconds(10));
  REQUIRE(scenario.crashes().size() >= 3);
  scenario.RunFor(kContactBound);
  const core::Instant known = net::SteadyNow();
  const unsigned served = scenario.served(kind);
  scenario.RunFor(seconds(6));
  CHECK(scenario.ReachedAfter(known) <= kMaxLateRequests);
  // 150 sound requests of the kind are sent in this time.
  CHECK(scenario.served(kind) - served >= 100);
  CHECK(scenario.violations().empty());
}

TEST_CASE("a part that crashes upstreams stays known after all hosts restart") {
  Scenario scenario({"dead"});
  const core::Instant known = AwaitKnown(scenario);
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Kill(host);
  }
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Start(host);
  }
  const unsigned served = scenario.served();
  CHECK(scenario.RunUntil([&] { return scenario.served() > served + 50; },
                          seconds(30)));
  CHECK(scenario.ReachedAfter(known) <= kMaxLateRequests);
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
