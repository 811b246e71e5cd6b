#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <vector>

#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A port at which connections are never established: its queue of new ones is
/// full.
class BlackHole {
 public:
  BlackHole() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    auto* address = reinterpret_cast<sockaddr*>(&address_);
    REQUIRE(bind(listener_, address, size) == 0);
    REQUIRE(listen(listener_, 0) == 0);
    REQUIRE(getsockname(listener_, address, &size) == 0);
    for (int count = 0; count < 4; ++count) {
      const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(filler, address, size);
      fillers_.push_back(filler);
    }
  }
  ~BlackHole() {
    for (const int filler : fillers_) close(filler);
    close(listener_);
  }
  BlackHole(const BlackHole&) = delete;
  BlackHole& operator=(const BlackHole&) = delete;

  [[nodiscard]] int port() const { return ntohs(address_.sin_port); }

 private:
  int listener_;
  sockaddr_in address_{};
  std::vector<int> fillers_;
};

Scenario::Options Options() {
  Scenario::Options options;
  options.models = 8;
  options.apps = 3;
  options.cuts_hosts = true;
  return options;
}

/// Sends plain requests of both kinds to every entry host.
void SendLoad(Scenario& scenario) {
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    scenario.Repeat(milliseconds(50), [&scenario, entry] {
      scenario.SendPlain("read", entry);
      scenario.SendPlain("book", entry);
    });
  }
  scenario.Repeat(milliseconds(50),
                  [&scenario] { scenario.SendStream("0a:40,0b:60"); });
}

/// Checks that callers of the cut hosts are served at least two thirds as often
/// as those of the others, or that few requests fail at all.
void CheckServed(const Scenario& scenario, const std::set<std::size_t>& cut) {
  Scenario::Tally at_cut;
  Scenario::Tally at_others;
  for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
    Scenario::Tally& sum = cut.contains(entry) ? at_cut : at_others;
    sum.sent += scenario.tally(entry).sent;
    sum.served += scenario.tally(entry).served;
  }
  CAPTURE(at_cut.served, at_cut.sent, at_others.served, at_others.sent);
  const unsigned sent = at_cut.sent + at_others.sent;
  const unsigned failed = at_cut.sent - at_cut.served;
  const bool even = 3.0 * at_cut.served * at_others.sent >=
                    2.0 * at_others.served * at_cut.sent;
  CHECK((even || failed <= 10 + sent / 50));
}

}  // namespace

// A host that reached no upstream refused all requests, although the others
// were served by the same upstreams.
TEST_CASE("callers of hosts that are cut off from all upstreams are served") {
  const bool hang = GENERATE(false, true);
  const std::set<std::size_t> cut =
      GENERATE(std::set<std::size_t>{0}, std::set<std::size_t>{0, 1});
  CAPTURE(hang, cut.size());
  const BlackHole black_hole;
  Scenario scenario(Options());
  scenario.AwaitServing();
  SendLoad(scenario);
  scenario.RunFor(seconds(1));
  for (const std::size_t entry : cut) {
    scenario.cluster().CutFromUpstreams(soak::kControlHosts + entry,
                                        hang ? black_hole.port() : 0);
  }
  scenario.RunFor(kContactBound);
  scenario.ResetTallies();
  scenario.RunFor(seconds(4));
  scenario.StopRepeating();
  scenario.RunFor(seconds(2));
  CheckServed(scenario, cut);
  for (const std::size_t entry : cut) {
    scenario.cluster().ReconnectToUpstreams(soak::kControlHosts + entry);
  }
  scenario.RunFor(seconds(1));
  scenario.ResetTallies();
  SendLoad(scenario);
  scenario.RunFor(seconds(4));
  scenario.StopRepeating();
  scenario.RunFor(seconds(2));
  CheckServed(scenario, cut);
  CHECK(scenario.violations().empty());
}

}  // namespace foxquay::platform::scenarios
