#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "foxquay/net/clock.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the site files on requests to an upstream that leaves.
constexpr milliseconds kDrainBound{2000};
/// Time after a 503 with Retry-After in which requests may still arrive, and
/// how many may arrive after it.
constexpr milliseconds kDeclineGrace{500};
constexpr int kMaxInPause = 2;

Scenario::Options PlainUpstreams() {
  Scenario::Options options;
  options.models = 0;
  options.apps = 3;
  return options;
}

void SendReads(Scenario& scenario) {
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    scenario.Repeat(milliseconds(25),
                    [&scenario, entry] { scenario.SendPlain("read", entry); });
  }
}

int ArrivalsAt(const Scenario& scenario, std::size_t upstream,
               core::Instant from) {
  int count = 0;
  for (const Scenario::Arrival& arrival : scenario.arrivals()) {
    if (arrival.upstream == upstream && arrival.at > from) ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("an upstream that says in its answers that it leaves gets no more") {
  Scenario scenario(PlainUpstreams());
  scenario.AwaitServing();
  SendReads(scenario);
  scenario.RunFor(seconds(1));
  scenario.upstream(0).SayLeaving();
  scenario.RunFor(milliseconds(300));
  const core::Instant told = net::SteadyNow();
  scenario.RunFor(kDrainBound + seconds(2));
  CHECK(ArrivalsAt(scenario, 0, told + kDrainBound) == 0);
  CHECK(ArrivalsAt(scenario, 1, told + kDrainBound) > 0);
  // It restarts at the same address under the same id.
  scenario.Restart(0);
  const core::Instant restarted = net::SteadyNow();
  CHECK(scenario.RunUntil(
      [&] { return ArrivalsAt(scenario, 0, restarted) > 5; }, seconds(10)));
  CHECK(scenario.violations().empty());
}

TEST_CASE("an upstream that asks for a pause gets almost nothing in it") {
  constexpr seconds kPause{4};
  Scenario scenario(PlainUpstreams());
  scenario.AwaitServing();
  SendReads(scenario);
  scenario.RunFor(seconds(1));
  const core::Instant start = net::SteadyNow();
  scenario.upstream(1).Decline(start + kPause);
  scenario.RunFor(kPause);
  std::map<char, core::Instant> first;
  std::map<char, int> in_pause;
  for (const Scenario::Arrival& arrival : scenario.arrivals()) {
    if (arrival.upstream != 1 || arrival.at < start) continue;
    const char host = arrival.id.front();
    const core::Instant asked =
        first.try_emplace(host, arrival.at).first->second;
    const bool counts =
        arrival.at > asked + kDeclineGrace && arrival.at < start + kPause;
    if (counts) ++in_pause[host];
  }
  CHECK(first.size() == soak::kEntryHosts);
  for (const auto& [host, count] : in_pause) CHECK(count <= kMaxInPause);
  const core::Instant end = net::SteadyNow();
  CHECK(scenario.RunUntil([&] { return ArrivalsAt(scenario, 1, end) > 5; },
                          seconds(5)));
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
