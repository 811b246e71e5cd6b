#include "foxquay/daemon/control_hosts.h"

#include <catch2/catch.hpp>

namespace foxquay::daemon {

// A control host that was named in the roster before any list of hosts had
// arrived counted as known, so that its address was never set and nothing could
// be sent to it: replicas did not get each other's requests for votes.
TEST_CASE("a host that is first known from the roster is new") {
  schema::Settings settings;
  settings.host.id = core::HostId("a");
  Hosts hosts(settings);
  schema::HostState state;
  state.address.id = core::HostId("b");
  state.address.incarnation = 1;
  state.address.peer = "10.0.0.2:7000";
  state.address.control = true;
  const core::Instant now(std::chrono::seconds(1));
  CHECK(hosts.Follow(state, now));
  CHECK_FALSE(hosts.Follow(state, now));
  // Its address is already set.
  CHECK_FALSE(hosts.HandleAddress(state.address, now));
  state.address.incarnation = 2;
  CHECK_FALSE(hosts.Follow(state, now));
  state.address.incarnation = 3;
  state.address.peer = "10.0.0.3:7000";
  CHECK(hosts.Follow(state, now));
  state.address.id = core::HostId("a");
  CHECK_FALSE(hosts.Follow(state, now));
}

}  // namespace foxquay::daemon
