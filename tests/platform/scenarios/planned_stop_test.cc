#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <set>
#include <string>

#include "foxquay/net/clock.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Factor on the time of upstreams with which a plain request lasts longer than
/// the grace period.
constexpr double kSlowdown = 400;

constexpr std::size_t kStopped = 0;  ///< The entry host that is stopped.

/// Returns whether a request was sent to the host that is stopped.
bool SentToStopped(const std::string& id) {
  return id.starts_with(std::to_string(kStopped) + "-");
}

}  // namespace

// Requests that were open at the end of the grace period were cut off without
// an answer, among them those that may run at most once.
TEST_CASE("requests that outlast the stop of their host are answered") {
  Scenario::Options options;
  options.models = 8;
  options.apps = 3;
  Scenario scenario(options);
  scenario.AwaitServing();
  for (std::size_t app = 0; app < options.apps; ++app) {
    scenario.upstream(options.models + app).SetSlowdown(kSlowdown);
  }
  const std::size_t before = scenario.arrivals().size();
  // Few enough to keep a connection each and to leave places at the upstreams.
  scenario.Repeat(milliseconds(100), [&] {
    scenario.SendPlain("read", kStopped);
    scenario.SendPlain("book", kStopped);
  });
  scenario.Repeat(milliseconds(50),
                  [&] { scenario.SendStream("0a:40,0b:60"); });
  scenario.RunFor(milliseconds(700));
  const std::size_t host = soak::kControlHosts + kStopped;
  const core::Instant stop = net::SteadyNow();
  scenario.cluster().Signal(host, SIGTERM);
  const auto ended = [&] {
    (void)scenario.cluster().TakeExitStatus(host);
    return !scenario.cluster().running(host);
  };
  CHECK(scenario.RunUntil(ended, soak::kGracePeriod));
  CHECK(net::SteadyNow() - stop < soak::kGracePeriod);
  scenario.StopRepeating();
  scenario.RunFor(seconds(6));

  std::set<std::string> passed_on;
  for (std::size_t index = before; index < scenario.arrivals().size();
       ++index) {
    const Scenario::Arrival& arrival = scenario.arrivals()[index];
    if (SentToStopped(arrival.id)) passed_on.insert(arrival.id);
  }
  unsigned cut = 0;
  unsigned untrue = 0;
  for (const std::string& id : passed_on) {
    const unsigned status = scenario.answers().at(id);
    if (status == 0) ++cut;
    if (status == 429 || status == 503) ++untrue;
  }
  CAPTURE(passed_on.size());
  CHECK(passed_on.size() > 10);
  CHECK(cut == 0);
  CHECK(untrue == 0);
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
