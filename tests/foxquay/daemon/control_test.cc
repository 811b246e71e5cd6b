#include <signal.h>  // NOLINT: SIGSTOP is not in <csignal>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "cluster.h"

namespace foxquay::daemon {
namespace {

constexpr std::size_t kHosts = 3;

void AwaitAll(const Cluster& cluster) {
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(cluster.AwaitAdmitting(host));
  }
}

std::size_t AwaitLeader(const Cluster& cluster, std::size_t host) {
  std::optional<std::size_t> leader;
  REQUIRE(Await([&] {
    leader = cluster.Leader(host);
    return leader.has_value();
  }));
  return *leader;
}

bool IsVoter(const nlohmann::json& status, const nlohmann::json& replica) {
  if (status["changing_voters"] == true) return false;
  for (const nlohmann::json& voter : status["voters"]) {
    if (voter["incarnation"] == replica) return true;
  }
  return false;
}

}  // namespace

// Guards against a change that is reported in force before every host has
// applied it, and against two changes that are accepted for the same revision.
TEST_CASE("a change is in force on every host, and of a race one wins") {
  const Cluster cluster(kHosts, kHosts);
  AwaitAll(cluster);
  const AdminAnswer first = cluster.SetTtl(1, 1000, 0, "first", true);
  REQUIRE(first.status == 200);
  CHECK(first.body["in_force"] == true);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK(cluster.Revision(host) == 1);
  }
  const AdminAnswer racing = cluster.SetTtl(2, 2000, 0, "racing");
  CHECK(racing.status == 409);
  CHECK(racing.body["winner"] == "first");
  const AdminAnswer resent = cluster.SetTtl(0, 1000, 0, "first");
  CHECK(resent.status == 200);
  CHECK(resent.body["revision"] == 1);
}

// Guards against a conflict between two consecutive commands of one client: the
// second read a configuration from before the first. Seen with `foxquay
// defaults set`.
TEST_CASE("a host has applied a change that it reports accepted") {
  const Cluster cluster(kHosts, 1);
  AwaitAll(cluster);
  for (std::uint64_t revision = 0; revision < 10; ++revision) {
    REQUIRE(
        cluster.SetTtl(2, 1000, revision, std::to_string(revision)).status ==
        200);
    CHECK(cluster.Revision(2) == revision + 1);
  }
}

// Guards against the loss of an accepted change when every process is killed.
TEST_CASE("accepted changes survive the loss of every process") {
  Cluster cluster(kHosts, kHosts);
  AwaitAll(cluster);
  REQUIRE(cluster.SetTtl(0, 1234, 0, "kept").status == 200);
  for (std::size_t host = 0; host < kHosts; ++host) cluster.Kill(host);
  for (std::size_t host = 0; host < kHosts; ++host) cluster.Start(host);
  AwaitAll(cluster);
  CHECK(cluster.Revision(0) == 1);
  CHECK(cluster.SetTtl(1, 1234, 0, "kept").status == 200);
  CHECK(cluster.SetTtl(1, 1, 0, "other").status == 409);
}

// Guards against a protected call that runs again when it is repeated at
// another host or after the leader was killed.
TEST_CASE("a repeated protected call runs once across hosts and leaders") {
  Cluster cluster(kHosts, kHosts);
  cluster.StartService(0);
  AwaitAll(cluster);
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(cluster.AwaitService(host));
  }
  const std::string key = MakeIdempotencyKey("once");
  const auto first = cluster.SendProtected(1, key);
  REQUIRE(HeaderOf(first, "X-Foxquay-Outcome") == "complete");
  const auto repeated = cluster.SendProtected(2, key);
  CHECK(HeaderOf(repeated, "X-Foxquay-Outcome") == "complete");
  CHECK(repeated.reply->body == first.reply->body);
  const std::size_t leader = AwaitLeader(cluster, 0);
  const std::size_t survivor = (leader + 1) % kHosts;
  cluster.Kill(leader);
  http::ServiceResult after;
  REQUIRE(Await([&] {
    after = cluster.SendProtected(survivor, key);
    return HeaderOf(after, "X-Foxquay-Outcome") == "complete";
  }));
  CHECK(after.reply->body == first.reply->body);
  CHECK(cluster.ServiceRuns() == 1);
}

// Guards against a claim that is treated as granted without a quorum, and
// against a host that admits requests after its lease has expired.
TEST_CASE("without a quorum a protected call is not run") {
  Cluster cluster(kHosts, kHosts);
  cluster.StartService(0);
  AwaitAll(cluster);
  REQUIRE(cluster.AwaitService(0));
  cluster.Signal(1, SIGSTOP);
  cluster.Signal(2, SIGSTOP);
  const auto claimed = cluster.SendProtected(0, MakeIdempotencyKey("a"));
  CHECK(HeaderOf(claimed, "X-Foxquay-Outcome") == "not-run");
  REQUIRE(claimed.reply);
  CHECK(claimed.reply->status == 503);
  CHECK_FALSE(HeaderOf(claimed, "Retry-After").empty());
  REQUIRE(Await([&] {
    return HeaderOf(cluster.SendOrdinary(0), "X-Foxquay-Outcome") == "not-run";
  }));
  cluster.Signal(1, SIGCONT);
  cluster.Signal(2, SIGCONT);
  CHECK(cluster.AwaitService(0));
  CHECK(cluster.ServiceRuns() == 0);
}

// Guards against a leader that resumes after a pause longer than its lease and
// uses or reports a configuration that was replaced in the meantime.
TEST_CASE("a frozen leader is current before it admits again") {
  Cluster cluster(kHosts, kHosts);
  cluster.StartService(0);
  AwaitAll(cluster);
  const std::size_t frozen = AwaitLeader(cluster, 0);
  const std::size_t other = (frozen + 1) % kHosts;
  cluster.Signal(frozen, SIGSTOP);
  AdminAnswer changed;
  REQUIRE(Await([&] {
    changed = cluster.SetTtl(other, 1500, 0, "while-frozen", true);
    return changed.status == 200;
  }));
  CHECK(changed.body["in_force"] == true);
  CHECK(changed.body["lease_expired"].size() == 1);
  cluster.Signal(frozen, SIGCONT);
  bool stale = false;
  REQUIRE(Await([&] {
    const AdminAnswer status = cluster.Admin(frozen, "GET", "/admin/v1/status");
    if (status.status != 200) return false;
    const bool admitting = status.body["admitting"];
    stale = stale || (admitting && status.body["revision"] != 1);
    return admitting;
  }));
  CHECK_FALSE(stale);
}

// Guards against a host without a replica that keeps sending requests to a dead
// leader. Seen as a change that was accepted but never reported in force.
TEST_CASE("an entry host follows a new leader") {
  constexpr std::size_t kAllHosts = 8;
  constexpr std::size_t kEntryHost = 7;
  Cluster cluster(kAllHosts, kHosts);
  for (std::size_t host = 0; host < kAllHosts; ++host) {
    REQUIRE(cluster.AwaitAdmitting(host));
  }
  REQUIRE(cluster.SetTtl(kEntryHost, 1000, 0, "before", true).status == 200);
  cluster.Kill(AwaitLeader(cluster, kEntryHost));
  REQUIRE(Await([&] {
    return cluster.SetTtl(kEntryHost, 2000, 1, "after").status == 200;
  }));
  for (std::uint64_t revision = 2; revision < 8; ++revision) {
    const AdminAnswer changed =
        cluster.SetTtl(kEntryHost, 2000 + static_cast<int>(revision), revision,
                       "later-" + std::to_string(revision), true);
    REQUIRE(changed.status == 200);
    CHECK(changed.body["in_force"] == true);
  }
}

// Guards against a replica that votes under its old identity after its data was
// lost.
TEST_CASE("a replica whose data folder is lost joins again") {
  Cluster cluster(kHosts, kHosts);
  AwaitAll(cluster);
  REQUIRE(cluster.SetTtl(0, 1000, 0, "one").status == 200);
  cluster.Kill(2);
  cluster.DeleteDataFolder(2);
  cluster.Start(2);
  REQUIRE(cluster.AwaitAdmitting(2));
  CHECK(cluster.Revision(2) == 1);
  // The group tolerates the loss of a second replica once both remaining hosts
  // list the new replica as a voter in place of the old one.
  const std::size_t leader = AwaitLeader(cluster, 0);
  const std::size_t lost = leader == 2 ? 0 : leader;
  REQUIRE(Await([&] {
    const AdminAnswer own = cluster.Admin(2, "GET", "/admin/v1/status");
    const AdminAnswer other =
        cluster.Admin(1 - lost, "GET", "/admin/v1/status");
    return own.status == 200 && other.status == 200 &&
           IsVoter(own.body, own.body["replica"]) &&
           IsVoter(other.body, own.body["replica"]);
  }));
  cluster.Kill(lost);
  REQUIRE(
      Await([&] { return cluster.SetTtl(2, 2000, 1, "two").status == 200; }));
}

// Guards against an announcement that reaches only the host that received it.
TEST_CASE("an upstream announced at one host is used by all") {
  Cluster cluster(kHosts, 1);
  AwaitAll(cluster);
  cluster.StartService(2);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK(cluster.AwaitService(host));
  }
}

// Guards against a host that can join only after the settings of all other
// hosts were changed.
TEST_CASE("hosts join without being in the settings of others") {
  constexpr std::size_t kAllHosts = 5;
  Cluster cluster(kAllHosts, 1, 2);
  for (std::size_t host = 0; host < kAllHosts; ++host) {
    REQUIRE(cluster.AwaitAdmitting(host));
  }
  for (std::size_t host = 0; host < kAllHosts; ++host) {
    CHECK(Await([&] { return cluster.EntryAddresses(host) == kAllHosts; }));
  }
  cluster.StartService(kAllHosts - 1);
  CHECK(cluster.AwaitService(1));
  cluster.Kill(kAllHosts - 1);
  CHECK(Await([&] { return cluster.EntryAddresses(1) == kAllHosts - 1; }));
}

}  // namespace foxquay::daemon
