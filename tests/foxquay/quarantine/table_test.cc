#include "foxquay/quarantine/table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "foxquay/quarantine/gate.h"
#include "foxquay/quarantine/limits.h"
#include "foxquay/quarantine/recorder.h"
#include "samples.h"

namespace foxquay::quarantine {
namespace {

schema::Quarantine MakeQuarantine(const std::string& part,
                                  std::uint64_t generation) {
  schema::Quarantine quarantine;
  quarantine.service = kService;
  quarantine.parts = MakeParts({part});
  quarantine.generation = generation;
  return quarantine;
}

}  // namespace

TEST_CASE("only the last part of a prompt is the request's own") {
  const auto prompt = MakeParts({"b", "a", "b", "own"});
  CHECK(MakeParts(prompt, "") == MakeParts({"a", "b"}));
  CHECK(MakeParts(MakeParts({"own"}), "").empty());
  CHECK(MakeParts(Parts(), "").empty());
}

TEST_CASE("a request is a part of itself that no caller can name") {
  const Parts plain = MakeParts(Parts(), "d1");
  REQUIRE(plain.size() == 1);
  CHECK(IsRequest(plain.front()));
  CHECK(plain != MakeParts(Parts(), "d2"));
  const Parts prompt = MakeParts(MakeParts({"a", "own"}), "d1");
  CHECK(Includes(prompt, plain));
  CHECK(Includes(prompt, MakeParts({"a"})));
  const Parts named = MakeParts({plain.front(), core::PromptPartId("own")}, "");
  REQUIRE(named.size() == 1);
  CHECK_FALSE(IsRequest(named.front()));
}

TEST_CASE("a long prompt leaves room for the whole request") {
  std::vector<std::string> ids;
  ids.reserve(100);
  for (int id = 0; id < 100; ++id) ids.push_back("p" + std::to_string(id));
  const Parts parts = MakeParts(MakeParts(ids), "d");
  CHECK(parts.size() == kMaxParts);
  CHECK(std::count_if(parts.begin(), parts.end(), IsRequest) == 1);
}

TEST_CASE("an id of any length fits into a message") {
  const std::string id(5000, 'x');
  const Parts parts = MakeParts(MakeParts({id, "own"}), "");
  REQUIRE(parts.size() == 1);
  CHECK(parts.front().value().size() <= 128);
  CHECK(parts != MakeParts(MakeParts({id + "y", "own"}), ""));
}

TEST_CASE("a command that is repeated or outdated has no effect") {
  Table table;
  CHECK(table.Apply(schema::PutQuarantine{MakeQuarantine("a", 1)}).applied);
  CHECK_FALSE(
      table.Apply(schema::PutQuarantine{MakeQuarantine("a", 1)}).applied);
  CHECK(table.Apply(schema::PutQuarantine{MakeQuarantine("a", 2)}).applied);
  CHECK_FALSE(
      table.Apply(schema::ReleaseQuarantine{kService, MakeParts({"a"}), 1})
          .applied);
  CHECK(table.content().version == 2);
  CHECK(table.Apply(schema::ReleaseQuarantine{kService, MakeParts({"a"}), 2})
            .applied);
  CHECK(table.content().entries.empty());
}

TEST_CASE("a full table makes room by its first quarantine") {
  Table table;
  for (std::size_t index = 0; index <= kMaxQuarantines; ++index) {
    (void)table.Apply(
        schema::PutQuarantine{MakeQuarantine(std::to_string(index), 1)});
  }
  CHECK(table.content().entries.size() == kMaxQuarantines);
  CHECK(table.Find(kService, MakeParts({"0"})) == nullptr);
}

TEST_CASE("only the process named in a quarantine may probe, once") {
  schema::QuarantineTable content;
  content.entries.push_back(MakeQuarantine("a", 4));
  content.entries.front().prober = core::HostId("self");
  content.entries.front().prober_incarnation = 9;
  Gate gate;
  gate.SetTable(content, core::HostId("self"), 10);
  const schema::Quarantine* found =
      gate.Find(kService, kWorkspace, MakeParts({"a", "b"}));
  REQUIRE(found != nullptr);
  CHECK_FALSE(gate.TakeProbe(*found));
  gate.SetTable(content, core::HostId("self"), 9);
  found = gate.Find(kService, kWorkspace, MakeParts({"a", "b"}));
  CHECK(gate.TakeProbe(*found));
  gate.SetTable(content, core::HostId("self"), 9);
  found = gate.Find(kService, kWorkspace, MakeParts({"a", "b"}));
  CHECK_FALSE(gate.TakeProbe(*found));
  CHECK(gate.Find(core::ServiceId("other"), kWorkspace, MakeParts({"a"})) ==
        nullptr);
}

TEST_CASE("parts are trusted while they are answered") {
  Recorder recorder;
  const Parts parts = MakeParts({"a", "b"});
  CHECK_FALSE(recorder.Trusts(kService, parts, At(0)));
  recorder.RecordAnswer(kService, parts, At(0));
  CHECK(recorder.Trusts(kService, parts, At(100)));
  const auto crash = [&](const std::string& upstream, int ms) {
    recorder.RecordCrash(kService, kWorkspace, core::UpstreamId(upstream), {},
                         MakeParts({"b"}), false, At(ms));
  };
  crash("u", 200);
  CHECK(recorder.Trusts(kService, parts, At(200)));
  // Several requests end with one upstream.
  crash("u", 201);
  CHECK(recorder.Trusts(kService, parts, At(201)));
  crash("v", 300);
  CHECK_FALSE(recorder.Trusts(kService, parts, At(300)));
  CHECK(recorder.Trusts(kService, MakeParts({"a"}), At(300)));
  recorder.RecordAnswer(kService, parts, At(400));
  CHECK_FALSE(recorder.Trusts(kService, parts, At(400) + kTrustTime * 2));
}

// Guards against answers that count as a sign that a part is sound although
// they break off with the next upstream.
TEST_CASE("an answer that has only begun clears no part") {
  Recorder recorder;
  recorder.RecordAnswer(kService, MakeParts({"known"}), At(0));
  recorder.SetWatched({{kService, core::PromptPartId("bad")}}, At(0));
  for (int upstream = 0; upstream < 3; ++upstream) {
    const core::Instant now = At(100 * upstream);
    recorder.RecordBegin(kService, MakeParts({"bad", "known"}), now);
    recorder.RecordCrash(kService, kWorkspace,
                         core::UpstreamId(std::to_string(upstream)), {},
                         MakeParts({"bad", "known"}), true, now);
  }
  CHECK_FALSE(recorder.Trusts(kService, MakeParts({"bad"}), At(300)));
  const schema::QuarantineReport report = recorder.Report(At(300));
  CHECK(report.answered.empty());
  REQUIRE(report.crashes.size() == 3);
  for (const schema::ReportedCrash& crash : report.crashes) {
    CHECK(HadBegun(crash.crash));
    CHECK(crash.crash.parts == MakeParts({"bad"}));
  }
}

TEST_CASE("a host reports crashes for a while and answers that are watched") {
  Recorder recorder;
  recorder.RecordAnswer(kService, MakeParts({"a"}), At(0));
  recorder.RecordCrash(kService, kWorkspace, core::UpstreamId("u"), {},
                       MakeParts({"b"}), false, At(1000));
  CHECK(recorder.Report(At(1500)).crashes.front().crash.age ==
        std::chrono::milliseconds(500));
  CHECK(recorder.Report(At(1500)).answered.empty());
  recorder.SetWatched({{kService, core::PromptPartId("a")}}, At(10000));
  const schema::QuarantineReport report = recorder.Report(At(10100));
  CHECK(report.crashes.empty());
  REQUIRE(report.answered.size() == 1);
  CHECK(report.answered.front().age == std::chrono::milliseconds(10100));
}

}  // namespace foxquay::quarantine
