#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "foxquay/net/message.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Heartbeats of another writer for an upstream at `address`; each is odd in
/// one way.
std::vector<std::string> OddEntries(const std::string& address) {
  const auto entry = [](const std::string& where, const std::string& born,
                        const std::string& more) {
    return R"({"service":"app","address":")" + where +
           R"(","zone":"east","version":"v1","slots":6,"state":"ready",)"
           R"("cold_left_ms":0,"seq":5,"born":)" +
           born + more + "}";
  };
  const std::string past = "1700000000000";
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  return {entry(address, "18446744073709551615", ""),
          entry(address, "9007199254740991", ""),
          entry(address, "4000000000000", ""),
          entry("127.0.0.1:70000", past, ""),
          entry("127.0.0.1:0", past, ""),
          entry("127.0.0.1", past, ""),
          entry(address, past, R"(,"kind":")" + std::string(500, 'k') + "\""),
          entry(address, past, R"(,"stage":1)"),
          entry(address, past, R"(,"models":"m")"),
          entry(address, past, R"(,"layers":)" + deep),
          entry(address, past, R"(,"note":)" + deep),
          deep,
          std::string(500'000, '[')};
}

/// Returns a heartbeat at `address` that is well formed and newer than any of
/// the upstream there, for a service that no configuration contains.
std::string ForUnknownService(const std::string& address) {
  const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return R"({"service":"unknown","address":")" + address +
         R"(","zone":"east","version":"v1","slots":6,"state":"ready",)"
         R"("cold_left_ms":0,"seq":1,"born":)" +
         std::to_string(now.count()) + "}";
}

}  // namespace

// Guards against an entry of another writer that takes the place of an upstream
// under its id or at its address, as what the upstream says has an older start.
TEST_CASE("a heartbeat for an unknown service displaces no upstream") {
  Scenario::Options options;
  options.models = 0;
  options.apps = 2;
  Scenario scenario(options);
  scenario.AwaitServing();
  soak::BufferingClient writer(scenario.context());
  unsigned sent = 0;
  unsigned acknowledged = 0;
  for (std::size_t index = 0; index < options.apps; ++index) {
    for (const std::string& control : scenario.cluster().ProxyAddresses(true)) {
      for (const std::string& id : {scenario.upstream_id(index),
                                    "other-" + scenario.upstream_id(index)}) {
        net::Request request;
        request.method = "PUT";
        request.target = "/v1/instances/" + id;
        request.fields.set("Host", "control");
        request.body = ForUnknownService(scenario.upstream(index).listener());
        ++sent;
        writer.Send(control, request,
                    [&acknowledged](unsigned status, const net::Fields&,
                                    const std::string&) {
                      if (status == 200) ++acknowledged;
                    });
      }
    }
  }
  CHECK(scenario.RunUntil([&] { return acknowledged == sent; }, seconds(10)));
  // A change of the upstreams is in force everywhere by then.
  scenario.RunFor(seconds(2));
  scenario.ResetTallies();
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    scenario.Repeat(milliseconds(100),
                    [&scenario, entry] { scenario.SendPlain("read", entry); });
  }
  scenario.RunFor(seconds(3));
  scenario.StopRepeating();
  scenario.RunFor(seconds(1));
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    CAPTURE(entry);
    CHECK(scenario.tally(entry).served * 10 >= scenario.tally(entry).sent * 9);
  }
  CHECK(scenario.violations().empty());
}

// Guards against hosts that end, or stop following the others, because of one
// entry of another writer, and against entries that outrank the upstream's own.
TEST_CASE("odd heartbeats end no process and outrank no upstream") {
  Scenario::Options options;
  options.models = 0;
  options.apps = 2;
  Scenario scenario(options);
  scenario.AwaitServing();
  soak::BufferingClient writer(scenario.context());
  const auto controls = scenario.cluster().ProxyAddresses(true);
  unsigned refused = 0;
  unsigned sent = 0;
  for (std::size_t index = 0; index < options.apps; ++index) {
    for (const std::string& body :
         OddEntries(scenario.upstream(index).listener())) {
      for (const std::string& control : controls) {
        net::Request request;
        request.method = "PUT";
        request.target = "/v1/instances/" + scenario.upstream_id(index);
        request.fields.set("Host", "control");
        request.body = body;
        ++sent;
        writer.Send(control, request,
                    [&refused](unsigned status, const net::Fields&,
                               const std::string&) {
                      if (status == 400 || status == 413) ++refused;
                    });
      }
    }
  }
  CHECK(scenario.RunUntil([&] { return refused == sent; }, seconds(10)));
  // Longer than an announcement stays in use without another one.
  scenario.RunFor(seconds(7));
  const unsigned before = scenario.served(soak::RequestKind::kRead);
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    scenario.Repeat(milliseconds(25),
                    [&scenario, entry] { scenario.SendPlain("read", entry); });
  }
  CHECK(scenario.RunUntil(
      [&] { return scenario.served(soak::RequestKind::kRead) > before + 50; },
      seconds(10)));
  for (std::size_t host = 0; host < soak::kControlHosts + soak::kEntryHosts;
       ++host) {
    CHECK(scenario.cluster().running(host));
    CHECK_FALSE(scenario.cluster().TakeExitStatus(host));
  }
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
