#include "foxquay/entry/answer.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace foxquay::entry {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

Host Make(const std::string& id, const std::string& data_centre,
          double free = 1) {
  Host host;
  host.id = core::HostId(id);
  host.address = "127.0.0.1:8080";
  host.data_centre = core::DataCentreId(data_centre);
  host.free = free;
  return host;
}

std::vector<std::string> ChosenHosts(const std::vector<Host>& hosts,
                                     const std::string& caller = "osborne") {
  Distances distances;
  distances.Set(core::DataCentreId("welshpool"), core::DataCentreId("osborne"),
                microseconds(300));
  distances.Set(core::DataCentreId("osborne"), core::DataCentreId("bassendean"),
                microseconds(200));
  std::vector<std::string> chosen;
  const Answer answer =
      ChooseAddresses(hosts, core::DataCentreId(caller), distances, seconds(5));
  for (const Address& address : answer.addresses) {
    chosen.push_back(address.host.value());
  }
  return chosen;
}

}  // namespace

// Guards against sending callers to another data centre without need.
TEST_CASE("the nearest data centre comes first") {
  const std::vector<Host> hosts{
      Make("h1", "elsewhere"), Make("h2", "welshpool"),
      Make("h3", "bassendean"), Make("h4", "osborne")};
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h4", "h3", "h2", "h1"});
  CHECK(ChosenHosts(hosts, "").size() == 4);
}

// Guards against sending callers to hosts that are about to close.
TEST_CASE("dead and draining hosts are absent") {
  std::vector<Host> hosts{Make("h1", "osborne"), Make("h2", "osborne"),
                          Make("h3", "osborne")};
  hosts[0].alive = false;
  hosts[1].draining = true;
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h3"});
  hosts[2].draining = true;
  CHECK(ChosenHosts(hosts).empty());
}

// Guards against an empty answer while there are hosts that can still refuse
// with a reason.
TEST_CASE("hosts that do not admit are listed only if there are no others") {
  std::vector<Host> hosts{Make("h1", "osborne"), Make("h2", "welshpool")};
  hosts[0].admitting = false;
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h2"});
  hosts[1].admitting = false;
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h1", "h2"});
}

TEST_CASE("weights follow free capacity and are never zero") {
  const Answer answer =
      ChooseAddresses({Make("h1", "osborne", 1), Make("h2", "osborne", 0.25),
                       Make("h3", "osborne", 0), Make("h4", "osborne", 7)},
                      core::DataCentreId("osborne"), {}, seconds(5));
  REQUIRE(answer.addresses.size() == 4);
  CHECK(answer.addresses[0].weight == 100);
  CHECK(answer.addresses[1].weight == 25);
  CHECK(answer.addresses[2].weight == 1);
  CHECK(answer.addresses[3].weight == 100);
  CHECK(answer.ttl == seconds(5));
}

TEST_CASE("callers are sent to hosts that are cut off only without others") {
  std::vector<Host> hosts{Make("h1", "osborne"), Make("h2", "osborne"),
                          Make("h3", "welshpool")};
  hosts[0].cut_off = true;
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h2", "h3"});
  // One that admits no requests serves nobody, one that is cut off may.
  hosts[1].admitting = false;
  hosts[2].draining = true;
  CHECK(ChosenHosts(hosts) == std::vector<std::string>{"h1"});
}

// Guards against answers that grow with the fleet, and against cutting a data
// centre short, which would leave its last hosts without work.
TEST_CASE("an answer lists whole data centres until it has enough addresses") {
  std::vector<Host> hosts;
  hosts.reserve(730);
  for (int i = 0; i < 730; ++i) {
    hosts.push_back(
        Make("h" + std::to_string(i), "dc" + std::to_string(i % 20)));
  }
  const auto chosen = ChosenHosts(hosts, "dc3");
  // Two data centres of 37 hosts.
  CHECK(chosen.size() == 74);
  CHECK(chosen.front() == "h103");
}

}  // namespace foxquay::entry
