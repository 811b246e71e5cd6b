#include <signal.h>  // NOLINT: SIGSTOP is not in <csignal>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "foxquay/net/clock.h"
#include "foxquay/net/message.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes calls of an upstream to control host 0 and returns the time until the
/// answer, which has to be a success.
class Upstream {
 public:
  explicit Upstream(Scenario& scenario)
      : scenario_(scenario), client_(scenario.context()) {}

  core::Duration Announce(const std::string& state) {
    return Call(
        "PUT", R"({"service":"app","address":"127.0.6.9:8080","zone":"east",)"
               R"("version":"v1","cold_left_ms":0,"slots":4,"born":1000,)"
               R"("state":")" +
                   state + R"(","seq":)" + std::to_string(++heartbeats_) + "}");
  }
  core::Duration Withdraw() { return Call("DELETE", ""); }

 private:
  core::Duration Call(const std::string& method, const std::string& body) {
    net::Request request;
    request.method = method;
    request.target = "/v1/instances/leaver";
    request.fields.set("Host", "control");
    request.body = body;
    const core::Instant sent = net::SteadyNow();
    std::optional<core::Instant> answered;
    client_.Send(
        scenario_.cluster().ProxyAddresses(true).front(), request,
        [&answered](unsigned status, const net::Fields&, const std::string&) {
          if (status == 200) answered = net::SteadyNow();
        });
    REQUIRE(
        scenario_.RunUntil([&] { return answered.has_value(); }, seconds(5)));
    return *answered - sent;
  }

  Scenario& scenario_;
  soak::BufferingClient client_;
  unsigned heartbeats_ = 0;
};

}  // namespace

// Guards against a leave that is acknowledged while another control host, and
// the entry hosts that follow it, do not know of it.
TEST_CASE("a leave is acknowledged when the other control hosts know it") {
  const bool withdraws = GENERATE(false, true);
  CAPTURE(withdraws);
  Scenario::Options options;
  options.models = 0;
  options.apps = 2;
  Scenario scenario(options);
  scenario.AwaitServing();
  Upstream upstream(scenario);
  (void)upstream.Announce("ready");
  scenario.RunFor(seconds(1));
  scenario.cluster().Signal(1, SIGSTOP);
  // An ordinary heartbeat does not wait.
  const core::Duration ordinary = upstream.Announce("ready");
  const core::Duration leave =
      withdraws ? upstream.Withdraw() : upstream.Announce("draining");
  scenario.cluster().Signal(1, SIGCONT);
  CAPTURE(core::ToMilliseconds(ordinary), core::ToMilliseconds(leave));
  CHECK(ordinary < milliseconds(500));
  CHECK(leave > milliseconds(700));
  // Not only after the host has run on; with allowance for a busy machine.
  CHECK(leave < milliseconds(1500));
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
