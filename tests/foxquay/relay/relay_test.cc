#include "foxquay/relay/relay.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "foxquay/quarantine/detector.h"

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement Plain(const std::string& id) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.address = id + ":1";
  announcement.kind = "service";
  announcement.service = core::ServiceId("app");
  announcement.slots = 6;
  return announcement;
}

std::shared_ptr<const fleet::Table> MakeTable(schema::RequestKind kind,
                                              std::uint32_t max_attempts,
                                              bool resumable = false) {
  schema::Fleet fleet;
  fleet.version = 1;
  fleet.services.push_back({core::ServiceId("app"), 100, std::nullopt});
  schema::Route route;
  route.host = "h";
  route.path_prefix = "/";
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = max_attempts;
  route.timeout = milliseconds(800);
  route.target_latency = milliseconds(300);
  route.services.push_back({core::ServiceId("app"), 1});
  fleet.routes.push_back(route);
  return std::make_shared<const fleet::Table>(fleet);
}

RequestContext MakeContext(const std::shared_ptr<const fleet::Table>& table,
                           int now) {
  RequestContext context;
  context.name = "r";
  context.table = table;
  context.route = &table->fleet().routes.front();
  context.service = &table->fleet().services.front();
  context.arrived = At(now);
  context.deadline = At(now + 800);
  return context;
}

Relay MakeRelay(const std::vector<schema::Announcement>& upstreams) {
  Relay relay({0.2, 200, std::chrono::seconds(10)}, 1);
  relay.SetHosts(1, At(0));
  relay.upstreams().Set(upstreams, At(0));
  return relay;
}

const Refuse& Refused(const Decision& decision) {
  REQUIRE(std::holds_alternative<Refuse>(decision));
  return std::get<Refuse>(decision);
}

const core::RequestId kId(1);

}  // namespace

TEST_CASE("an at-most-once request is not retried after it may have run") {
  const auto table = MakeTable(schema::RequestKind::kAtMostOnce, 3);
  for (const LossKind kind :
       {LossKind::kUnanswered, LossKind::kCut, LossKind::kStalled}) {
    Relay relay = MakeRelay({Plain("a"), Plain("b")});
    const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
    REQUIRE(std::holds_alternative<Send>(sent));
    CHECK_FALSE(std::get<Send>(sent).reuse_connection);
    const Decision end = relay.HandleLoss(kId, {kind, ""}, At(10));
    CHECK(Refused(end).status == 502);
    CHECK_FALSE(Refused(end).retry_after);
    CHECK(relay.size() == 0);
  }
}

TEST_CASE("an at-most-once request is retried if it has not run") {
  const auto table = MakeTable(schema::RequestKind::kAtMostOnce, 2);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
  const std::string first = std::get<Send>(sent).hops.front().address;
  const Decision again = relay.HandleLoss(kId, {LossKind::kNotRun, ""}, At(5));
  REQUIRE(std::holds_alternative<Send>(again));
  CHECK(std::get<Send>(again).hops.front().address != first);
  const Decision end = relay.HandleLoss(kId, {LossKind::kNotRun, ""}, At(9));
  CHECK(Refused(end).status == 503);
  CHECK(Refused(end).retry_after);
}

TEST_CASE("a send that reaches no upstream does not use up an attempt") {
  const auto table = MakeTable(schema::RequestKind::kAtMostOnce, 1);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
  const Decision again = relay.HandleLoss(kId, {LossKind::kNotSent, ""}, At(5));
  CHECK(std::holds_alternative<Send>(again));
}

TEST_CASE("a repeatable request uses each attempt at a different upstream") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c")});
  const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
  const Decision again = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(5));
  REQUIRE(std::holds_alternative<Send>(again));
  CHECK(std::get<Send>(again).hops != std::get<Send>(sent).hops);
  CHECK(Refused(relay.HandleLoss(kId, {LossKind::kCut, ""}, At(9))).status ==
        502);
}

TEST_CASE("a request without any upstream is refused at once") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({});
  const Decision end = relay.Arrive(kId, MakeContext(table, 0), At(0));
  CHECK(Refused(end).status == 503);
  CHECK(Refused(end).retry_after);
}

// A load peak fills all slots. Waiting requests are served by priority as slots
// become free, and refused while the caller can still meet its target
// elsewhere.
TEST_CASE("held requests are served by priority or refused in time") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({Plain("a")});
  for (std::uint64_t at = 0; at < 6; ++at) {
    (void)relay.Arrive(core::RequestId(100 + at), MakeContext(table, 0), At(0));
  }
  RequestContext late = MakeContext(table, 1);
  late.priority = 2;
  RequestContext urgent = MakeContext(table, 2);
  urgent.priority = 1;
  CHECK(std::holds_alternative<Hold>(
      relay.Arrive(core::RequestId(1), late, At(1))));
  CHECK(std::holds_alternative<Hold>(
      relay.Arrive(core::RequestId(2), urgent, At(2))));
  CHECK(relay.Review(At(10)).empty());
  relay.Complete(core::RequestId(100), At(0));
  const auto decisions = relay.Review(At(20));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].first == core::RequestId(2));
  const auto refused = relay.Review(At(300));
  REQUIRE(refused.size() == 1);
  CHECK(Refused(refused[0].second).status == 503);
}

TEST_CASE("a request that may have run ends with 504 at its deadline") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({Plain("a")});
  (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
  const auto decisions = relay.Review(At(800));
  REQUIRE(decisions.size() == 1);
  CHECK(Refused(decisions[0].second).status == 504);
  CHECK(relay.size() == 0);
}

TEST_CASE("a stream uses no more upstreams than its route allows") {
  const auto table = MakeTable(schema::RequestKind::kStream, 1, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
  const core::UpstreamId first = std::get<Send>(sent).hops.front().upstream;
  relay.BeginAnswer(kId, At(0));
  for (int send = 2; send <= 5; ++send) {
    const int now = send * 10;
    Decision again = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(now));
    // The upstream is avoided from its second failure on, so the stream waits.
    if (std::holds_alternative<Hold>(again)) {
      relay.upstreams().RecordSuccess({{first, "", {}}});
      break;
    }
    REQUIRE(std::holds_alternative<Send>(again));
    CHECK(std::get<Send>(again).hops.front().upstream == first);
  }
  const auto late = relay.Review(At(5000));
  for (const auto& [id, decision] : late) {
    CHECK(std::holds_alternative<Abort>(decision));
  }
}

// Once an answer has begun, a refusal can no longer be sent.
TEST_CASE("a stream that has begun is aborted, never refused") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, false);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
  relay.BeginAnswer(kId, At(0));
  CHECK(std::holds_alternative<Abort>(
      relay.HandleLoss(kId, {LossKind::kCut, ""}, At(10))));
}

// The first hop rejects a chain with a hop that no longer holds its layers; the
// first hop itself may be used again.
TEST_CASE("a third upstream is never used where two are allowed") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c")});
  const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
  const core::UpstreamId first = std::get<Send>(sent).hops.front().upstream;
  const Decision second = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(10));
  REQUIRE(std::holds_alternative<Send>(second));
  CHECK(std::get<Send>(second).hops.front().upstream != first);
  const Decision third = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(20));
  REQUIRE(std::holds_alternative<Send>(third));
  CHECK(std::get<Send>(third).hops.front().upstream == first);
  // An upstream that left the list may still be running, e.g. while it drains.
  relay.upstreams().Set({Plain("c")}, At(25));
  const Decision fourth = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(30));
  CHECK_FALSE(std::holds_alternative<Send>(fourth));
}

// Guards against requests that use up their sends at two upstreams that turn
// them away, while others would serve them.
TEST_CASE("a request that was turned away goes on to upstreams that were not") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c"), Plain("d")});
  std::set<core::UpstreamId> shedding;
  Decision decision = relay.Arrive(kId, MakeContext(table, 0), At(0));
  for (int send = 0; send < 3; ++send) {
    REQUIRE(std::holds_alternative<Send>(decision));
    const core::UpstreamId first =
        std::get<Send>(decision).hops.front().upstream;
    CHECK(shedding.insert(first).second);
    decision = relay.HandleLoss(kId, {LossKind::kNotRun, ""}, At(send + 1));
  }
  // Later requests try the fourth one first.
  REQUIRE(std::holds_alternative<Send>(decision));
  for (std::uint64_t id = 2; id < 5; ++id) {
    const Decision sent =
        relay.Arrive(core::RequestId(id), MakeContext(table, 0), At(10));
    REQUIRE(std::holds_alternative<Send>(sent));
    CHECK_FALSE(shedding.contains(std::get<Send>(sent).hops.front().upstream));
  }
}

// Upstreams that all turn away a part of the requests are used all the same.
TEST_CASE("a request that every upstream turned away is sent again") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  Decision decision = relay.Arrive(kId, MakeContext(table, 0), At(0));
  for (int send = 0; send < 4; ++send) {
    REQUIRE(std::holds_alternative<Send>(decision));
    decision = relay.HandleLoss(kId, {LossKind::kNotRun, ""}, At(send + 1));
  }
  CHECK(std::holds_alternative<Send>(decision));
}

// A stalled stream that is aborted while no other path exists is lost; one that
// waits may continue.
TEST_CASE("a stalled stream moves only if another path can take it") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  SECTION("there is another upstream") {
    Relay relay = MakeRelay({Plain("a"), Plain("b")});
    const Decision sent = relay.Arrive(kId, MakeContext(table, 0), At(0));
    const auto moved = relay.Move(kId, At(100));
    REQUIRE(moved);
    CHECK(moved->hops != std::get<Send>(sent).hops);
    CHECK(relay.Path(kId) == moved->hops);
  }
  SECTION("there is none") {
    Relay relay = MakeRelay({Plain("a")});
    (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
    CHECK_FALSE(relay.Move(kId, At(100)));
    CHECK(relay.Path(kId).size() == 1);
  }
  SECTION("the retry budget is used up") {
    Relay relay({0, 0, std::chrono::seconds(10)}, 1);
    relay.SetHosts(1, At(0));
    relay.upstreams().Set({Plain("a"), Plain("b")}, At(0));
    (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
    CHECK_FALSE(relay.Move(kId, At(100)));
    CHECK(relay.Path(kId).size() == 1);
  }
}

// One of three upstreams becomes five times slower.
TEST_CASE("a slow upstream gets fewer requests until it recovers") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c")});
  std::uint64_t next = 1;
  const auto share_of_a = [&](int from, int slow_ms) {
    int of_a = 0;
    for (int at = 0; at < 300; ++at) {
      const int now = from + at * 20;
      const core::RequestId id(next++);
      const Decision sent = relay.Arrive(id, MakeContext(table, now), At(now));
      const bool slow =
          std::get<Send>(sent).hops.front().upstream.value() == "a";
      if (slow) ++of_a;
      relay.RecordLatency(id, milliseconds(slow ? slow_ms : 60), At(now));
      relay.Complete(id, At(0));
    }
    return of_a;
  };
  CHECK(share_of_a(0, 60) > 60);
  CHECK(share_of_a(6000, 300) < 60);
  CHECK(share_of_a(60000, 60) > 60);
}

// A host whose connections are all reset at once must keep using its upstreams.
TEST_CASE("answers cut at the same time count as one failure") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  std::vector<core::RequestId> ids;
  for (std::uint64_t at = 1; at <= 8; ++at) {
    ids.emplace_back(at);
    (void)relay.Arrive(ids.back(), MakeContext(table, 1000), At(1000));
    relay.BeginAnswer(ids.back(), At(0));
  }
  for (const core::RequestId id : ids) {
    CHECK(std::holds_alternative<Send>(
        relay.HandleLoss(id, {LossKind::kCut, ""}, At(1100))));
  }
}

// Guards against streams that are aborted for want of retries when a stage is
// lost under many of them, although more retries are granted later.
TEST_CASE("a stream without retries left waits for an allowance") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  for (const bool granted : {true, false}) {
    Relay relay({0, 0, std::chrono::seconds(10)}, 1);
    relay.SetHosts(1, At(0));
    relay.upstreams().Set({Plain("a"), Plain("b")}, At(0));
    RequestContext context = MakeContext(table, 0);
    context.deadline = At(20000);
    (void)relay.Arrive(kId, std::move(context), At(0));
    relay.BeginAnswer(kId, At(0));
    const Decision lost = relay.HandleLoss(kId, {LossKind::kCut, ""}, At(100));
    CHECK(std::holds_alternative<Hold>(lost));
    CHECK(relay.Review(At(300)).empty());
    CHECK(relay.Review(At(19900)).empty());
    if (granted) {
      relay.budget().SetAllowance(core::ServiceId("app"), 5, At(19950));
    }
    const auto later = relay.Review(At(granted ? 19960 : 20000));
    REQUIRE(later.size() == 1);
    CHECK(std::holds_alternative<Send>(later.front().second) == granted);
    CHECK(std::holds_alternative<Abort>(later.front().second) == !granted);
  }
}

namespace {

/// What happens to one stream of which the caller has a part while every send
/// ends with the same loss.
struct ResumedStream {
  int sends = 0;  ///< Sends until the deadline.
  int ended_at = 0;
  bool aborted = false;
  int most_in_a_second = 0;
};

constexpr int kStreamDeadline = 20000;

ResumedStream PlayResumedStream(LossKind kind, bool through_partners) {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c")});
  RequestContext context = MakeContext(table, 0);
  context.deadline = At(kStreamDeadline);
  if (through_partners) {
    context.outdated = true;
    relay.partners().Set(core::HostId("self"), {{core::HostId("p"), "p:1"},
                                                {core::HostId("q"), "q:1"}});
  }
  const Decision sent = relay.Arrive(kId, std::move(context), At(0));
  REQUIRE(std::holds_alternative<Send>(sent));
  relay.BeginAnswer(kId, At(0));
  ResumedStream result;
  std::vector<int> times;
  const auto follow = [&](int now, Decision decision) {
    while (std::holds_alternative<Send>(decision)) {
      ++result.sends;
      times.push_back(now);
      decision = relay.HandleLoss(kId, {kind, ""}, At(now));
    }
    if (std::holds_alternative<Hold>(decision)) return;
    result.aborted = std::holds_alternative<Abort>(decision);
    result.ended_at = now;
  };
  follow(100, relay.HandleLoss(kId, {LossKind::kCut, ""}, At(100)));
  for (int now = 110; now <= kStreamDeadline && relay.Contains(kId);
       now += 10) {
    for (const auto& [id, decision] : relay.Review(At(now))) {
      follow(now, decision);
    }
  }
  for (const int from : times) {
    const auto count = std::count_if(times.begin(), times.end(), [&](int at) {
      return at >= from && at < from + 1000;
    });
    result.most_in_a_second =
        std::max(result.most_in_a_second, static_cast<int>(count));
  }
  return result;
}

}  // namespace

// Guards against streams that are cut while their caller still waits, because
// upstreams, or hosts in their place, turn them away several times.
TEST_CASE("a stream that has begun waits until its deadline") {
  const LossKind kind = GENERATE(LossKind::kNotRun, LossKind::kNotSent,
                                 LossKind::kError, LossKind::kCut);
  const bool through_partners = GENERATE(false, true);
  CAPTURE(Name(kind), through_partners);
  const ResumedStream stream = PlayResumedStream(kind, through_partners);
  CHECK(stream.ended_at == kStreamDeadline);
  CHECK(stream.aborted);
  // It is tried again all the while, ever more rarely.
  CHECK(stream.sends >= 10);
  CHECK(stream.sends <= 40);
  CHECK(stream.most_in_a_second <= 8);
}

// Guards against streams that wait for a place while others, which could still
// come back later, take it.
TEST_CASE("a stream that has begun gets the next place") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a")});
  const core::RequestId begun(1);
  for (std::uint64_t id = 1; id <= 6; ++id) {
    RequestContext context = MakeContext(table, 0);
    context.priority = 2;
    (void)relay.Arrive(core::RequestId(id), std::move(context), At(0));
  }
  relay.BeginAnswer(begun, At(0));
  (void)relay.HandleLoss(begun, {LossKind::kNotSent, ""}, At(1));
  RequestContext urgent = MakeContext(table, 2);
  urgent.priority = 1;
  CHECK(std::holds_alternative<Hold>(
      relay.Arrive(core::RequestId(7), urgent, At(2))));
  relay.upstreams().ForgetFailures(core::ServiceId("app"));
  for (std::uint64_t id = 2; id <= 5; ++id) {
    relay.Complete(core::RequestId(id), At(3));
  }
  const auto decisions = relay.Review(At(10));
  REQUIRE_FALSE(decisions.empty());
  CHECK(decisions.front().first == begun);
  CHECK(std::holds_alternative<Send>(decisions.front().second));
}

namespace {

/// Returns a context of a prompt with one part that others may share.
RequestContext MakePromptContext(
    const std::shared_ptr<const fleet::Table>& table, const std::string& part) {
  RequestContext context = MakeContext(table, 0);
  context.parts = {core::PromptPartId(part)};
  return context;
}

schema::QuarantineTable QuarantineOf(const std::string& part) {
  schema::Quarantine quarantine;
  quarantine.service = core::ServiceId("app");
  quarantine.parts = {core::PromptPartId(part)};
  quarantine.generation = 1;
  return {1, {quarantine}};
}

}  // namespace

// What ended one upstream ended the next one as well.
TEST_CASE("a request that ended its upstream is not sent to another one") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  (void)relay.Arrive(kId, MakePromptContext(table, "p"), At(0));
  const Loss loss{LossKind::kCut, "", true, true};
  const auto suspicion = relay.SuspectCrash(kId, loss);
  REQUIRE(suspicion);
  CHECK(suspicion->parts == quarantine::Parts{core::PromptPartId("p")});
  const Decision end = relay.HandleLoss(kId, loss, At(10));
  CHECK(Refused(end).status == 502);
  CHECK_FALSE(Refused(end).retry_after);
  // An upstream that still runs has only broken off an answer.
  (void)relay.Arrive(kId, MakePromptContext(table, "p"), At(12));
  CHECK(std::holds_alternative<Send>(
      relay.HandleLoss(kId, {LossKind::kCut, "", true, false}, At(14))));
  relay.Abandon(kId);
  // With a part that is answered, something else ended the upstream.
  relay.recorder().RecordAnswer(core::ServiceId("app"), suspicion->parts,
                                At(20));
  (void)relay.Arrive(kId, MakePromptContext(table, "p"), At(30));
  CHECK(std::holds_alternative<Send>(relay.HandleLoss(kId, loss, At(40))));
}

// Guards against a stream that crashes one upstream after the other, each time
// after it has begun, and against sound streams that are given up with the
// first upstream that ends under them.
TEST_CASE("a stream that has begun is given up after several crashes") {
  const auto table = MakeTable(schema::RequestKind::kStream, 4, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b"), Plain("c"), Plain("d")});
  Decision decision = relay.Arrive(kId, MakePromptContext(table, "p"), At(0));
  for (std::size_t crash = 1; crash <= quarantine::kMinCrashes; ++crash) {
    REQUIRE(std::holds_alternative<Send>(decision));
    const core::Instant now = At(static_cast<int>(crash) * 10);
    relay.BeginAnswer(kId, now);
    const bool unchecked = relay.ResumesUnchecked(kId);
    CHECK(unchecked == (crash < quarantine::kMinCrashes));
    const Loss loss{LossKind::kCut, "", true, !unchecked};
    const auto suspicion = relay.SuspectCrash(kId, loss);
    REQUIRE(suspicion);
    CHECK(suspicion->begun);
    relay.RecordCrash(kId, *suspicion, now);
    decision = relay.HandleLoss(kId, loss, now);
  }
  CHECK(std::holds_alternative<Abort>(decision));
}

// Guards against parts that are suspected because upstreams end as announced.
TEST_CASE("the end of an upstream that leaves is no crash") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  const Decision sent = relay.Arrive(kId, MakePromptContext(table, "p"), At(0));
  const core::UpstreamId first = std::get<Send>(sent).hops.front().upstream;
  relay.BeginAnswer(kId, At(5));
  const Loss loss{LossKind::kCut, "", true, false};
  CHECK(relay.SuspectCrash(kId, loss));
  SECTION("it has said so") {
    REQUIRE(relay.RecordWish(first, true, std::nullopt, At(10)));
  }
  SECTION("it has left the list") { relay.upstreams().Set({}, At(10)); }
  CHECK_FALSE(relay.SuspectCrash(kId, loss));
}

// A plain request has no shared parts, and its upstream ends before the head.
TEST_CASE("a plain request is suspected of the crash of its upstream") {
  const auto kind = GENERATE(schema::RequestKind::kRepeatable,
                             schema::RequestKind::kAtMostOnce);
  const auto table = MakeTable(kind, 2, false);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  RequestContext context = MakeContext(table, 0);
  context.parts = quarantine::MakeParts({}, "digest");
  (void)relay.Arrive(kId, context, At(0));
  const Loss loss{LossKind::kUnanswered, "", true, true};
  const auto suspicion = relay.SuspectCrash(kId, loss);
  REQUIRE(suspicion);
  CHECK(suspicion->parts == context.parts);
  CHECK(Refused(relay.HandleLoss(kId, loss, At(10))).status == 502);
}

TEST_CASE("a request that is often answered is sent again after a crash") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2, false);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  RequestContext context = MakeContext(table, 0);
  context.parts = quarantine::MakeParts({}, "digest");
  (void)relay.Arrive(kId, context, At(0));
  relay.Complete(kId, At(5));
  (void)relay.Arrive(kId, context, At(20));
  const Loss loss{LossKind::kUnanswered, "", true, true};
  CHECK(std::holds_alternative<Send>(relay.HandleLoss(kId, loss, At(40))));
}

TEST_CASE("no probe of a quarantined request goes to the last upstream") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2, false);
  schema::QuarantineTable quarantines = QuarantineOf("p");
  quarantines.entries.front().prober = core::HostId("self");
  quarantines.entries.front().prober_incarnation = 1;
  Relay relay = MakeRelay({Plain("a")});
  relay.SetQuarantines(quarantines, core::HostId("self"), 1);
  CHECK(
      Refused(relay.Arrive(kId, MakePromptContext(table, "p"), At(0))).status ==
      503);
  Relay two = MakeRelay({Plain("a"), Plain("b")});
  two.SetQuarantines(quarantines, core::HostId("self"), 1);
  CHECK(std::holds_alternative<Send>(
      two.Arrive(kId, MakePromptContext(table, "p"), At(0))));
}

TEST_CASE("a quarantined request is refused at once and truthfully") {
  const auto table = MakeTable(schema::RequestKind::kStream, 2, true);
  Relay relay = MakeRelay({Plain("a"), Plain("b")});
  const core::RequestId sent(1);
  const core::RequestId begun(2);
  const core::RequestId sound(3);
  (void)relay.Arrive(sent, MakePromptContext(table, "p"), At(0));
  (void)relay.Arrive(begun, MakePromptContext(table, "p"), At(0));
  (void)relay.Arrive(sound, MakePromptContext(table, "q"), At(0));
  relay.BeginAnswer(begun, At(5));
  relay.SetQuarantines(QuarantineOf("p"), core::HostId("self"), 1);
  const auto ended = relay.Review(At(10));
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().first == sent);
  // It may have run.
  CHECK(Refused(ended.front().second).status == 502);
  CHECK(relay.Contains(begun));
  CHECK(relay.Contains(sound));
  const Decision refused =
      relay.Arrive(core::RequestId(4), MakePromptContext(table, "p"), At(20));
  CHECK(Refused(refused).status == 503);
  CHECK_FALSE(Refused(refused).retry_after);
  CHECK(relay.recorder().Report(At(20)).refused.size() == 1);
  const Decision lost = relay.HandleLoss(begun, {LossKind::kCut, ""}, At(30));
  CHECK(std::holds_alternative<Abort>(lost));
}

TEST_CASE("an upstream that leaves gets nothing until it has restarted") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  schema::Announcement leaving = Plain("a");
  leaving.born = core::WallTime(milliseconds(1000));
  Relay relay = MakeRelay({leaving});
  (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
  CHECK(relay.RecordWish(core::UpstreamId("a"), true, std::nullopt, At(5)));
  CHECK_FALSE(
      relay.RecordWish(core::UpstreamId("a"), true, std::nullopt, At(6)));
  relay.Complete(kId, At(10));
  // Nothing else can serve it: it is refused at once.
  CHECK(Refused(relay.Arrive(kId, MakeContext(table, 20), At(20))).status ==
        503);
  // It leaves the list, and a late announcement lists it again.
  relay.upstreams().Set({}, At(30));
  relay.upstreams().Set({leaving}, At(40));
  CHECK(Refused(relay.Arrive(kId, MakeContext(table, 50), At(50))).status ==
        503);
  leaving.born = core::WallTime(milliseconds(2000));
  relay.upstreams().Set({leaving}, At(60));
  CHECK(std::holds_alternative<Send>(
      relay.Arrive(kId, MakeContext(table, 70), At(70))));
}

TEST_CASE("an upstream that asks for a pause gets nothing until its end") {
  const auto table = MakeTable(schema::RequestKind::kRepeatable, 2);
  Relay relay = MakeRelay({Plain("a")});
  (void)relay.Arrive(kId, MakeContext(table, 0), At(0));
  CHECK(relay.RecordWish(core::UpstreamId("a"), false, milliseconds(3000),
                         At(0)));
  const Decision lost = relay.HandleLoss(kId, {LossKind::kNotRun, ""}, At(1));
  CHECK(Refused(lost).status == 503);
  // A shorter pause does not replace the longer one.
  relay.upstreams().RecordHoldOff(core::UpstreamId("a"), At(500));
  CHECK(Refused(relay.Arrive(kId, MakeContext(table, 2000), At(2000)))
            .retry_after);
  // The pause ends while the request may wait.
  CHECK(std::holds_alternative<Hold>(
      relay.Arrive(kId, MakeContext(table, 2950), At(2950))));
  const auto later = relay.Review(At(3010));
  REQUIRE(later.size() == 1);
  CHECK(std::holds_alternative<Send>(later.front().second));
}

}  // namespace foxquay::relay
