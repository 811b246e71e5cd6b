#include "foxquay/control/fleet_history.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "foxquay/control/observer.h"
#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::control {
namespace {

constexpr std::uint32_t kRoutes = 1400;

std::string Encoded(std::uint64_t version, std::uint32_t routes,
                    std::uint32_t changed = UINT32_MAX) {
  schema::Fleet fleet;
  fleet.version = version;
  for (std::uint32_t index = 0; index < routes; ++index) {
    schema::Route route;
    route.host = "host" + std::to_string(index) + ".example";
    route.path_prefix = "/prefix/" + std::to_string(index) + "/";
    route.timeout = std::chrono::seconds(index == changed ? 9 : 5);
    fleet.routes.push_back(route);
  }
  return schema::Encode(fleet);
}

}  // namespace

// Guards against changes that take longer to send to all hosts than they may
// take to be in force.
TEST_CASE("a change of one route of many is sent as such") {
  const std::string base = Encoded(3, kRoutes);
  const std::string unrelated = "short";
  std::uint64_t version = 3;
  for (const std::string& content :
       {Encoded(4, kRoutes, kRoutes / 2), Encoded(4, kRoutes + 1),
        Encoded(4, kRoutes - 1), Encoded(4, 0), base, unrelated}) {
    schema::ConfigReply reply;
    reply.fleet_version = ++version;
    FleetHistory history;
    history.Add(3, base, content);
    history.Write(content, 3, reply);
    CHECK((ReadFleet(reply, 3, base) == content));
    if (content.size() > base.size() / 2) CHECK(reply.fleet.size() < 512);
  }
}

// Guards against hosts that need the whole configuration after less than a
// second without it, as it changes several times a second.
TEST_CASE("a host that is many versions behind is sent what changed since") {
  const std::uint64_t versions = GENERATE(2, 9, 45, 900);
  const std::uint32_t first = kRoutes / 2;
  const auto content = [first](std::uint64_t version) {
    const auto step = static_cast<std::uint32_t>(version);
    // Routes that follow each other change, are added and are removed.
    return Encoded(version, kRoutes + step % 3, first + step % 7);
  };
  FleetHistory history;
  Observer observer(core::HostId("h"), 1, kConfigLease, false);
  schema::ConfigReply reply;
  reply.incarnation = 1;
  for (std::uint64_t version = 0; version < versions; ++version) {
    reply = schema::ConfigReply();
    reply.incarnation = 1;
    reply.poll = observer.StartPoll({}).poll;
    reply.fleet_version = version + 1;
    const std::string base = version == 0 ? "" : content(version);
    history.Add(version, base, content(version + 1));
    history.Write(content(version + 1), version, reply);
    REQUIRE(observer.HandleReply(reply));
  }
  schema::ConfigReply direct;
  direct.fleet_version = versions;
  history.Write(content(versions), 1, direct);
  CHECK((ReadFleet(direct, 1, content(1)) == content(versions)));
  CHECK(direct.fleet.size() < content(versions).size() * 3 / 5);
  // A host that took over each change answers alike.
  schema::ConfigPoll poll;
  poll.fleet_version = 1;
  const auto passed = observer.Answer(poll, {});
  REQUIRE(passed);
  CHECK((passed->fleet == direct.fleet));
  CHECK((ReadFleet(*passed, 1, content(1)) == content(versions)));
}

TEST_CASE("any content follows from any earlier one") {
  std::mt19937_64 random(GENERATE(range(0U, 200U)));
  std::vector<std::string> contents = {""};
  FleetHistory history;
  for (std::uint64_t version = 1; version <= 20; ++version) {
    // Few letters, so that what two contents share at their ends overlaps.
    std::string next(random() % 40 + (random() % 8 == 0 ? 0 : 16), 'a');
    for (char& byte : next) byte = random() % 8 == 0 ? 'b' : 'a';
    history.Add(version - 1, contents.back(), next);
    contents.push_back(next);
    for (std::uint64_t from = 0; from < version; ++from) {
      schema::ConfigReply reply;
      reply.fleet_version = version;
      history.Write(next, from, reply);
      REQUIRE(ReadFleet(reply, from, contents.at(from)) == next);
    }
  }
}

TEST_CASE("a host with an unknown version gets the whole configuration") {
  FleetHistory history;
  const std::string content = Encoded(20, 10);
  for (std::uint64_t version = 0; version < 1020; ++version) {
    history.Add(version, content, content);
  }
  for (const std::uint64_t version : {0, 1, 1025}) {
    schema::ConfigReply reply;
    history.Write(content, version, reply);
    CHECK(reply.fleet_base == 0);
    CHECK(reply.fleet == content);
  }
}

TEST_CASE("a change that does not fit the base is not applied") {
  FleetHistory history;
  const std::string base = Encoded(3, 10);
  const std::string content = Encoded(4, 10, 5);
  history.Add(3, base, content);
  schema::ConfigReply reply;
  history.Write(content, 3, reply);
  CHECK_FALSE(ReadFleet(reply, 2, base));
  CHECK_FALSE(ReadFleet(reply, 3, Encoded(3, 10, 9)));
  reply.fleet_suffix = UINT32_MAX;
  CHECK_FALSE(ReadFleet(reply, 3, base));
  // The host asks for the whole content then.
  Observer observer(core::HostId("h"), 1, kConfigLease, false);
  schema::ConfigReply first;
  first.incarnation = 1;
  first.poll = observer.StartPoll({}).poll;
  first.fleet_version = 3;
  first.fleet = base;
  CHECK(observer.HandleReply(first));
  reply.incarnation = 1;
  reply.poll = observer.StartPoll({}).poll;
  reply.fleet_version = 4;
  CHECK_FALSE(observer.HandleReply(reply));
  CHECK(observer.fleet_version() == 3);
  CHECK(observer.StartPoll({}).fleet_version == 0);
}

// Guards against hosts that keep a revoked key because the version without any
// reaches them as a difference, from a snapshot or through another host.
TEST_CASE("the removal of the last key reaches every host") {
  const auto encode = [](std::uint64_t version, const std::string& key) {
    schema::Fleet fleet;
    fleet.version = version;
    fleet.routes.resize(kRoutes);
    schema::Workspace workspace;
    if (!key.empty()) workspace = {core::WorkspaceId("w"), {key}, 1};
    fleet.workspaces.push_back(workspace);
    return schema::Encode(fleet);
  };
  State state;
  const auto put = [&state, &encode](std::uint64_t version,
                                     const std::string& key) {
    const schema::PutFleet command{version, encode(version, key), "source"};
    state.Apply(version, core::WallTime(),
                schema::Encode(schema::ControlCommand(command)));
  };
  const auto ask = [](Observer& observer, const auto& answerer) {
    const schema::ConfigPoll poll = observer.StartPoll({});
    const schema::ConfigReply reply = answerer(poll);
    observer.HandleReply(reply);
    return reply.fleet_base;
  };
  const auto leader = [&state](const schema::ConfigPoll& poll) {
    return state.Answer(poll, {});
  };
  put(3, "k1");
  Observer observer(core::HostId("h"), 1, kConfigLease, false);
  CHECK(ask(observer, leader) == 0);
  put(4, "");
  // Older versions, from an operator or from a delayed message, change nothing.
  put(3, "k1");
  put(4, "k1");
  CHECK(ask(observer, leader) == 3);
  CHECK(observer.fleet() == encode(4, ""));
  Observer second(core::HostId("i"), 1, kConfigLease, false);
  CHECK(ask(second, [&observer](const schema::ConfigPoll& poll) {
          return *observer.Answer(poll, {});
        }) == 0);
  CHECK(second.fleet() == encode(4, ""));
  // A leader that starts from a snapshot, and a host that starts anew.
  auto restored = State::FromSnapshot(state.Snapshot());
  REQUIRE(restored);
  state = std::move(restored).value();
  Observer third(core::HostId("j"), 1, kConfigLease, false);
  CHECK(ask(third, leader) == 0);
  CHECK(third.fleet() == encode(4, ""));
  put(5, "k2");
  put(6, "");
  CHECK(ask(observer, leader) == 4);
  CHECK(observer.fleet() == encode(6, ""));
}

// Guards against hosts that ask for the whole configuration, which other
// control hosts leave out, since two of them answered at the same time.
TEST_CASE("a change for the version that a host had before is ignored") {
  Observer observer(core::HostId("h"), 1, kConfigLease, false);
  const std::string base = Encoded(3, 10);
  const auto reply_to = [&observer](std::uint64_t version) {
    schema::ConfigReply reply;
    reply.incarnation = 1;
    reply.poll = observer.StartPoll({}).poll;
    reply.fleet_version = version;
    return reply;
  };
  schema::ConfigReply first = reply_to(3);
  first.fleet = base;
  REQUIRE(observer.HandleReply(first));
  FleetHistory history;
  schema::ConfigReply second = reply_to(4);
  schema::ConfigReply third = reply_to(5);
  history.Add(3, base, Encoded(4, 10, 5));
  history.Write(Encoded(4, 10, 5), 3, second);
  history.Add(4, Encoded(4, 10, 5), Encoded(5, 10, 6));
  history.Write(Encoded(5, 10, 6), 3, third);
  CHECK(observer.HandleReply(second));
  CHECK_FALSE(observer.HandleReply(third));
  CHECK(observer.StartPoll({}).fleet_version == 4);
}

// Guards against a control host that confirms a configuration to others which
// it did not manage to take over from its own replica.
TEST_CASE("a host confirms only the configuration that it has") {
  Observer observer(core::HostId("h"), 1, kConfigLease, false);
  schema::ConfigReply reply;
  reply.incarnation = 1;
  reply.poll = observer.StartPoll({}).poll;
  reply.fleet_version = 3;
  reply.fleet = std::string(5000, 'a');
  reply.age = std::chrono::hours(1);
  REQUIRE(observer.HandleReply(reply));

  State state;
  for (const std::uint64_t version : {3, 4}) {
    schema::PutFleet put;
    put.version = version;
    put.fleet = std::string(5000, 'b') + std::to_string(version);
    state.Apply(version, core::WallTime(),
                schema::Encode(schema::ControlCommand(put)));
  }
  const core::Instant now(std::chrono::hours(2));
  CHECK_FALSE(observer.Sync(state, core::Duration::zero(), now));
  CHECK(observer.fleet_version() == 3);
  CHECK(now - *observer.confirmed() > std::chrono::hours(1));
  // It takes the whole content then.
  CHECK(observer.Sync(state, core::Duration::zero(), now));
  CHECK(observer.fleet_version() == 4);
  CHECK(now - *observer.confirmed() < std::chrono::seconds(1));
}

}  // namespace foxquay::control
