#include "foxquay/control/state.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "foxquay/control/observer.h"
#include "foxquay/control/policy.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/schema/codec.h"

namespace foxquay::control {
namespace {

using schema::ExceptionScope;
using schema::PolicyKey;

template <class Result, class Command>
Result Apply(State& state, const Command& command) {
  const std::string bytes = schema::Encode(schema::ControlCommand(command));
  return std::get<Result>(state.Apply(state.index() + 1, {}, bytes));
}

template <class Command>
schema::ChangeResult Change(State& state, Command command) {
  command.header.change = "c" + std::to_string(state.index());
  command.header.expected_revision = state.config().revision();
  command.header.author = "ada";
  return Apply<schema::ChangeResult>(state, command);
}

schema::ChangeResult Except(State& state, ExceptionScope scope,
                            const std::string& object, std::int64_t value) {
  return Change(state, schema::AddException{
                           {}, "retry.budget", scope, object, value, "why"});
}

}  // namespace

// Guards against a validation that stops at its first finding.
TEST_CASE("a refused change reports all findings") {
  State state;
  const auto result = Apply<schema::ChangeResult>(
      state, schema::AddException{{"", 0, " "},
                                  "retry.budget",
                                  static_cast<ExceptionScope>(9),
                                  "",
                                  101,
                                  "\t"});
  CHECK(result.status == schema::ChangeStatus::kInvalid);
  std::string paths;
  for (const auto& finding : result.findings) paths += finding.path + " ";
  CHECK(paths == "change_id author value scope object reason ");
  CHECK(state.config().revision() == 0);
}

// Guards against a log entry that cannot be decoded and that crashes a replica
// or has different effects on different replicas.
TEST_CASE("a malformed log entry changes nothing") {
  State state;
  const auto result = state.Apply(1, {}, "\xff\xff\xff");
  CHECK(std::holds_alternative<schema::MalformedResult>(result));
  CHECK_FALSE(State::FromSnapshot("x"));
  CHECK(state.index() == 1);
}

// Guards against an exception of a wider scope that takes precedence over a
// narrower one, and against overrides that ToPolicy passes to dispatch with
// another scope.
TEST_CASE("the most specific exception takes precedence") {
  State state;
  const Subject subject{core::WorkspaceId("w"), core::ModelId("m"),
                        core::UpstreamId("u"), core::DataCentreId("d"),
                        core::HostId("h")};
  std::int64_t value = 20;
  for (const auto& [scope, object] :
       {std::pair(ExceptionScope::kDataCentre, "d"),
        std::pair(ExceptionScope::kHost, "h"),
        std::pair(ExceptionScope::kModel, "m"),
        std::pair(ExceptionScope::kWorkspace, "w"),
        std::pair(ExceptionScope::kUpstream, "u")}) {
    REQUIRE(Except(state, scope, object, ++value).status ==
            schema::ChangeStatus::kAccepted);
    CHECK(state.config().Effective(PolicyKey::kRetryBudget, subject) == value);
  }
  CHECK(state.config().Effective(PolicyKey::kRetryBudget, {}) == 10);
  Change(state, schema::SetDefault{{}, "retry.budget", 30});
  const auto policy = ToPolicy<dispatch::PolicyChanged>(state.config());
  CHECK(policy.defaults[static_cast<int>(PolicyKey::kRetryBudget)] == 30);
  REQUIRE(policy.overrides.size() == 5);
  CHECK(policy.overrides[4].scope == dispatch::Scope::kUpstream);
  CHECK(policy.overrides[4].object == "u");
  CHECK(policy.overrides[4].value == 25);
}

// Guards against two exceptions for the same key, scope and object, one of
// which would be ignored.
TEST_CASE("a target has at most one exception") {
  State state;
  Except(state, ExceptionScope::kHost, "h", 1);
  CHECK(Except(state, ExceptionScope::kHost, "h", 2).status ==
        schema::ChangeStatus::kInvalid);
}

// Guards against an observer that never obtains a lease, and against claims in
// the configuration feed.
TEST_CASE("an observer follows by entries, after a gap by a snapshot") {
  State state;
  Apply<schema::HostResult>(state,
                            schema::RegisterHost{core::HostId("h"), 1, {}});
  Observer observer(core::HostId("h"), 1);
  const core::Instant start{std::chrono::hours(1)};
  CHECK(observer.Admit(start).state == AdmissionState::kNoLease);
  auto reply = state.Answer(observer.StartPoll(start), {});
  CHECK(reply.entries.size() == 1);
  CHECK(observer.HandleReply(reply));
  CHECK(observer.Admit(start).state == AdmissionState::kOpen);
  CHECK(observer.Admit(start + kConfigLease).state == AdmissionState::kNoLease);

  const std::uint64_t sequence = state.config().sequence();
  schema::Claim claim;
  claim.owner = {core::HostId("h"), 1, 1};
  claim.key = "50.k";
  Apply<schema::ClaimResult>(state, claim);
  CHECK(state.claims().size() == 1);
  CHECK(state.config().sequence() == sequence);
  for (int change = 0; change < 300; ++change) {
    Change(state, schema::SetDefault{{}, "retry.budget", change % 100});
  }
  reply = state.Answer(observer.StartPoll(start), {});
  CHECK(reply.snapshot);
  CHECK(observer.HandleReply(reply));
  CHECK(observer.config() == state.config());
}

// Guards against a snapshot that exceeds the maximum frame size of 1 MiB.
TEST_CASE("the largest configuration fits into one frame") {
  schema::ConfigReply reply;
  reply.snapshot.emplace();
  reply.snapshot->defaults.resize(64);
  schema::ConfigException exception;
  exception.object = std::string(128, 'o');
  exception.reason = std::string(256, 'r');
  exception.author = std::string(64, 'a');
  reply.snapshot->exceptions.assign(kMaxExceptions, exception);
  const schema::HostRecord host{core::HostId(std::string(128, 'h')), 1, true,
                                core::DataCentreId(std::string(128, 'd'))};
  reply.snapshot->hosts.assign(kMaxHosts, host);
  CHECK(schema::Encode(reply).size() < 1'048'576 - 4096);
}

TEST_CASE("the highest fleet version is stored and survives a snapshot") {
  State state;
  const auto put = [&state](std::uint64_t version, const std::string& source) {
    return Apply<schema::FleetResult>(
        state, schema::PutFleet{version, "encoded " + source, source});
  };
  CHECK(put(7, "seven").replaced);
  CHECK(put(9, "nine").replaced);
  const schema::FleetResult late = put(8, "eight");
  CHECK_FALSE(late.replaced);
  CHECK(late.version == 9);
  CHECK_FALSE(put(9, "other").replaced);
  CHECK(state.fleet().source == "nine");
  const auto restored = State::FromSnapshot(state.Snapshot());
  REQUIRE(restored);
  CHECK(restored.value().fleet() == state.fleet());
}

// Guards against a host that obtains a lease from another host's reply but has
// an older fleet configuration than that host.
TEST_CASE("a lease requires the fleet version that the reply states") {
  using std::chrono::milliseconds;
  const core::Instant start{};
  State state;
  const core::HostId host("entry");
  Apply<schema::HostResult>(
      state, schema::RegisterHost{host, 1, core::DataCentreId("a")});
  Apply<schema::FleetResult>(state, schema::PutFleet{7, "encoded", "source"});
  Observer observer(host, 1);
  schema::ConfigReply reply = state.Answer(observer.StartPoll(start), {});
  CHECK(reply.fleet == "encoded");
  reply.fleet.clear();
  observer.HandleReply(reply);
  CHECK(observer.Admit(start).state == AdmissionState::kNoLease);
  reply = state.Answer(observer.StartPoll(start), {});
  CHECK(observer.HandleReply(reply));
  CHECK(observer.fleet_version() == 7);
  CHECK(observer.Admit(start).state == AdmissionState::kOpen);
  reply = state.Answer(observer.StartPoll(start), {});
  CHECK(reply.fleet.empty());
  Observer second(core::HostId("other"), 1);
  const auto passed_on = observer.Answer(second.StartPoll(start), start);
  REQUIRE(passed_on);
  CHECK(passed_on->fleet == "encoded");
}

namespace {

schema::PutQuarantine Quarantine(const std::string& part,
                                 std::uint64_t generation) {
  schema::PutQuarantine command;
  command.quarantine.service = core::ServiceId("s");
  command.quarantine.parts = {core::PromptPartId(part)};
  command.quarantine.generation = generation;
  return command;
}

}  // namespace

TEST_CASE("quarantines survive a snapshot and reach observers") {
  State state;
  CHECK(Apply<schema::QuarantineResult>(state, Quarantine("a", 1)).applied);
  CHECK(Apply<schema::QuarantineResult>(state, Quarantine("b", 1)).applied);
  CHECK_FALSE(
      Apply<schema::QuarantineResult>(state, Quarantine("b", 1)).applied);
  const auto restored = State::FromSnapshot(state.Snapshot());
  REQUIRE(restored);
  CHECK(restored.value().quarantines() == state.quarantines());
  const core::Instant start{};
  Observer observer(core::HostId("h"), 1);
  const schema::ConfigPoll poll = observer.StartPoll(start);
  const schema::ConfigReply reply = state.Answer(poll, {});
  CHECK(observer.HandleReply(reply));
  CHECK(observer.quarantines() == state.quarantines());
  CHECK_FALSE(state.Answer(observer.StartPoll(start), {}).quarantines);
  // The next observer asks this one.
  Observer next(core::HostId("i"), 1);
  const auto passed_on = observer.Answer(next.StartPoll(start), start);
  REQUIRE(passed_on);
  CHECK(next.HandleReply(*passed_on));
  CHECK(next.quarantines() == state.quarantines());
}

TEST_CASE("a lease requires the quarantines that the reply states") {
  State state;
  Apply<schema::QuarantineResult>(state, Quarantine("a", 1));
  Observer observer(core::HostId("h"), 1);
  schema::ConfigReply reply =
      state.Answer(observer.StartPoll(core::Instant{}), {});
  reply.quarantines.reset();
  observer.HandleReply(reply);
  CHECK_FALSE(observer.confirmed());
}

TEST_CASE("a snapshot of a build without quarantines is restored") {
  State state;
  Change(state, schema::SetDefault{{}, "retry.budget", 7});
  const std::string bytes = state.Snapshot();
  const std::string table = schema::Encode(schema::QuarantineTable());
  const std::string former = bytes.substr(0, bytes.size() - (table.size() - 1));
  const auto restored = State::FromSnapshot(former);
  REQUIRE(restored);
  CHECK(restored.value().config() == state.config());
  CHECK(restored.value().quarantines().entries.empty());
}

}  // namespace foxquay::control
