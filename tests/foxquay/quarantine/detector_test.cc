#include "foxquay/quarantine/detector.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/quarantine/bundle.h"
#include "foxquay/quarantine/table.h"
#include "samples.h"

namespace foxquay::quarantine {
namespace {

constexpr std::chrono::seconds kSettle{1};

/// A detector and the table that its changes apply to.
struct Fixture {
  /// Applies every change that is due; returns their number.
  int Settle(core::Instant now) {
    int changes = 0;
    while (const auto change = detector.Review(table.content(), kSettle, now)) {
      std::visit([this](const auto& command) { table.Apply(command); },
                 *change);
      REQUIRE(++changes < 10);
    }
    return changes;
  }

  /// Records crashes of different upstreams, 500 ms apart, the last one at
  /// `end_ms`.
  void Crash(int count, const std::vector<std::string>& parts, int end_ms,
             const core::WorkspaceId& workspace = kWorkspace) {
    for (int index = 0; index < count; ++index) {
      detector.Record(CrashOf(++upstreams, parts, workspace),
                      At(end_ms - 500 * (count - 1 - index)));
    }
  }

  [[nodiscard]] bool Refuses(const std::vector<std::string>& parts,
                             const std::string& workspace = "w") const {
    for (const schema::Quarantine& entry : table.content().entries) {
      if (Covers(entry, kService, core::WorkspaceId(workspace),
                 MakeParts(parts))) {
        return true;
      }
    }
    return false;
  }

  Detector detector;
  Table table;
  int upstreams = 0;
};

}  // namespace

TEST_CASE("a part is quarantined after crashes of three upstreams") {
  Fixture fixture;
  fixture.Crash(2, {"shared", "bad"}, 1000);
  fixture.detector.Record(AnswerTo("shared"), At(1200));
  CHECK(fixture.Settle(At(3000)) == 0);
  fixture.Crash(1, {"shared", "bad"}, 3000);
  CHECK(fixture.Settle(At(3000)) == 1);
  CHECK(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"shared"}));
  CHECK(fixture.table.content().entries.front().crashes == 3);
}

TEST_CASE("crashes of one upstream count once") {
  Fixture fixture;
  for (int count = 0; count < 5; ++count) {
    fixture.detector.Record(CrashOf(1, {"bad"}), At(100 * count));
  }
  CHECK(fixture.Settle(At(5000)) == 0);
}

TEST_CASE("a report that is repeated counts once") {
  Fixture fixture;
  const schema::QuarantineReport report = CrashOf(1, {"bad"});
  for (int count = 0; count < 5; ++count) {
    fixture.detector.Record(report, At(100 * count));
  }
  CHECK(fixture.detector.crashes() == 1);
}

TEST_CASE("an answer between crashes clears a part") {
  Fixture fixture;
  fixture.Crash(2, {"part"}, 1000);
  fixture.detector.Record(AnswerTo("part"), At(1500));
  fixture.Crash(2, {"part"}, 3000);
  CHECK(fixture.Settle(At(5000)) == 0);
}

TEST_CASE("suspicion waits for the answers that hosts have seen") {
  Fixture fixture;
  for (int upstream = 1; upstream <= 3; ++upstream) {
    fixture.detector.Record(CrashOf(upstream, {"part"}), At(0));
  }
  CHECK(fixture.Settle(At(500)) == 0);
  // The host reports at 900 ms an answer of 850 ms before, after the crashes.
  schema::QuarantineReport answer = AnswerTo("part");
  answer.answered.front().age = std::chrono::milliseconds(850);
  fixture.detector.Record(answer, At(900));
  CHECK(fixture.Settle(At(2000)) == 0);
}

TEST_CASE("a part that was never answered is suspected before one that was") {
  Fixture fixture;
  fixture.detector.Record(AnswerTo("shared"), At(0));
  fixture.Crash(1, {"shared", "bad"}, 500);
  schema::QuarantineReport answer = AnswerTo("shared");
  answer.answered.front().age = std::chrono::milliseconds(600);
  fixture.detector.Record(answer, At(600));
  fixture.Crash(3, {"shared", "bad"}, 3000);
  CHECK(fixture.Settle(At(3000)) == 1);
  CHECK(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"shared"}));
}

TEST_CASE("of two parts the one with more crashes explains the others") {
  Fixture fixture;
  fixture.Crash(2, {"bad", "one"}, 1000);
  fixture.Crash(3, {"bad", "two"}, 3000);
  CHECK(fixture.Settle(At(5000)) == 1);
  CHECK(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"one", "two"}));
}

// Requests that share only one of the two may be sound.
TEST_CASE("parts of the same crashes are refused together until one is known") {
  Fixture fixture;
  fixture.Crash(3, {"bad", "other"}, 3000);
  CHECK(fixture.Settle(At(3000)) == 1);
  CHECK(fixture.Refuses({"bad", "other"}));
  CHECK_FALSE(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"other"}));
  fixture.detector.Record(AnswerTo("other"), At(4000));
  CHECK(fixture.Settle(At(4000)) == 2);
  CHECK(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"other"}));
  CHECK(fixture.table.content().entries.size() == 1);
}

TEST_CASE("two parts that crash upstreams are both quarantined") {
  Fixture fixture;
  fixture.Crash(3, {"first", "shared"}, 2000);
  fixture.detector.Record(AnswerTo("shared"), At(2500));
  fixture.Crash(3, {"second", "shared"}, 4000);
  fixture.detector.Record(AnswerTo("shared"), At(4500));
  CHECK(fixture.Settle(At(5000)) == 2);
  CHECK(fixture.Refuses({"first"}));
  CHECK(fixture.Refuses({"second"}));
  CHECK_FALSE(fixture.Refuses({"shared"}));
}

TEST_CASE("a request that began beside the one that crashed is no evidence") {
  Fixture fixture;
  for (int upstream = 1; upstream <= 4; ++upstream) {
    fixture.detector.Record(CrashOf(upstream, {"bad"}), At(upstream * 500));
    fixture.detector.Record(CrashOf(upstream, {"beside"}), At(upstream * 500));
    if (upstream == 2) fixture.detector.Record(AnswerTo("beside"), At(1200));
  }
  CHECK(fixture.Settle(At(4000)) == 1);
  CHECK(fixture.Refuses({"bad"}));
  CHECK_FALSE(fixture.Refuses({"beside"}));
}

// Any caller may name any part.
TEST_CASE("crashes from one workspace restrict only that workspace") {
  Fixture fixture;
  fixture.Crash(5, {"part"}, 3000, core::WorkspaceId("attacker"));
  CHECK(fixture.Settle(At(3000)) == 1);
  CHECK(fixture.Refuses({"part"}, "attacker"));
  CHECK_FALSE(fixture.Refuses({"part"}, "victim"));
  fixture.Crash(1, {"part"}, 4000, core::WorkspaceId("victim"));
  CHECK(fixture.Settle(At(4000)) == 1);
  CHECK(fixture.Refuses({"part"}, "third"));
}

TEST_CASE("an answer in another workspace releases a part") {
  Fixture fixture;
  fixture.Crash(3, {"part"}, 3000, core::WorkspaceId("attacker"));
  fixture.Settle(At(3000));
  fixture.detector.Record(AnswerTo("part"), At(3500));
  CHECK(fixture.Settle(At(3500)) == 1);
  CHECK(fixture.table.content().entries.empty());
}

TEST_CASE("one crash of a second service extends a quarantine to it") {
  Fixture fixture;
  fixture.Crash(3, {"bad"}, 3000);
  fixture.Settle(At(3000));
  const core::ServiceId other("other");
  fixture.detector.Record(CrashOf(90, {"bad"}, kWorkspace, other), At(4000));
  CHECK(fixture.Settle(At(4000)) == 1);
  CHECK(fixture.table.Find(other, MakeParts({"bad"})) != nullptr);
}

TEST_CASE("workspaces do not displace each other's evidence") {
  Fixture fixture;
  fixture.Crash(2, {"bad"}, 1000, core::WorkspaceId("quiet"));
  for (std::size_t count = 0; count < 2 * kMaxCrashes; ++count) {
    fixture.detector.Record(CrashOf(1000, {"made-up"}), At(1000));
  }
  CHECK(fixture.detector.crashes() == kMaxCrashes);
  fixture.Crash(1, {"bad"}, 2000, core::WorkspaceId("quiet"));
  fixture.Settle(At(3000));
  CHECK(fixture.Refuses({"bad"}, "quiet"));
}

TEST_CASE("one host of the fleet probes a quarantine, ever more rarely") {
  Fixture fixture;
  fixture.Crash(3, {"bad"}, 3000);
  fixture.Settle(At(3000));
  const auto at = [](core::Duration since) { return At(3000) + since; };
  fixture.detector.Record(RefusalOf({"bad"}, "a"), at(kFirstProbeDelay / 2));
  CHECK(fixture.Settle(at(kFirstProbeDelay / 2)) == 0);
  const auto due = std::chrono::duration_cast<std::chrono::seconds>(
      kFirstProbeDelay + std::chrono::seconds(1));
  fixture.detector.Record(RefusalOf({"bad"}, "b"), at(due));
  CHECK(fixture.Settle(at(due)) == 1);
  CHECK(fixture.table.content().entries.front().prober == core::HostId("b"));
  // The probe crashes its upstream.
  fixture.detector.Record(CrashOf(50, {"bad"}),
                          at(due + std::chrono::seconds(2)));
  CHECK(fixture.Settle(at(due + std::chrono::seconds(2))) == 1);
  CHECK(fixture.table.content().entries.front().prober.empty());
  CHECK(fixture.table.content().entries.front().probes == 1);
  fixture.detector.Record(RefusalOf({"bad"}, "b"), at(due * 2));
  CHECK(fixture.Settle(at(due * 2)) == 0);
  fixture.detector.Record(RefusalOf({"bad"}, "b"), at(due * 4));
  CHECK(fixture.Settle(at(due * 4)) == 1);
  // Now the upstream answers.
  fixture.detector.Record(AnswerTo("bad"),
                          at(due * 4 + std::chrono::seconds(2)));
  CHECK(fixture.Settle(at(due * 4 + std::chrono::seconds(2))) == 1);
  CHECK(fixture.table.content().entries.empty());
}

TEST_CASE("a probe without an outcome is given to another host") {
  Fixture fixture;
  fixture.Crash(3, {"bad"}, 3000);
  fixture.Settle(At(3000));
  const core::Instant due = At(3000) + kFirstProbeDelay;
  fixture.detector.Record(RefusalOf({"bad"}, "a"), due);
  fixture.Settle(due);
  const core::Instant later = due + kProbeTimeout;
  fixture.detector.Record(RefusalOf({"bad"}, "b"), later);
  CHECK(fixture.Settle(later) == 1);
  CHECK(fixture.table.content().entries.front().prober == core::HostId("b"));
  CHECK(fixture.table.content().entries.front().probes == 0);
}

// Upstreams that end for other reasons must not make every poll longer.
TEST_CASE("a part is watched until it is answered, or while in quarantine") {
  Fixture fixture;
  const auto watched = [&fixture] {
    return fixture.detector.Watched(fixture.table.content()).size();
  };
  CHECK(watched() == 0);
  fixture.Crash(1, {"shared", "bad"}, 1000);
  CHECK(watched() == 2);
  fixture.detector.Record(AnswerTo("shared"), At(1200));
  CHECK(watched() == 1);
  fixture.Settle(At(1300));
  CHECK(watched() == 1);
  fixture.Crash(2, {"bad"}, 3000);
  CHECK(fixture.Settle(At(3000)) == 1);
  fixture.Settle(At(3000) + kCrashRetention + std::chrono::seconds(1));
  CHECK(watched() == 1);
}

// All upstreams of a small service ended within 160 ms, and again after each
// restart.
TEST_CASE("a request that ends all upstreams of a small service is known") {
  Fixture fixture;
  const std::vector<std::string> bad{"request-bad"};
  for (int upstream = 1; upstream <= 3; ++upstream) {
    fixture.detector.Record(CrashOf(upstream, bad), At(60 * upstream));
  }
  CHECK(fixture.Settle(At(1000)) == 0);
  CHECK(fixture.Settle(At(1200)) == 1);
  CHECK(fixture.Refuses(bad));
}

// They were taken for parts of one request, and none of them was refused.
TEST_CASE("different requests in the same crashes are not taken for one") {
  Fixture fixture;
  for (int upstream = 1; upstream <= 3; ++upstream) {
    const core::Instant at = At(100 * upstream);
    fixture.detector.Record(CrashOf(upstream, {"request-a"}), at);
    fixture.detector.Record(CrashOf(upstream, {"request-b"}), at);
  }
  CHECK(fixture.Settle(At(3000)) == 2);
  CHECK(fixture.Refuses({"request-a"}));
  CHECK(fixture.Refuses({"request-b"}));
}

TEST_CASE("a request is suspected before the part of a prompt beside it") {
  Fixture fixture;
  for (int upstream = 1; upstream <= 3; ++upstream) {
    const core::Instant at = At(500 * upstream);
    fixture.detector.Record(CrashOf(upstream, {"part", "request-bad"}), at);
    fixture.detector.Record(
        CrashOf(upstream, {"part", "request-" + std::to_string(upstream)}), at);
  }
  CHECK(fixture.Settle(At(3000)) == 1);
  CHECK(fixture.Refuses({"request-bad"}));
  CHECK_FALSE(fixture.Refuses({"part"}));
}

TEST_CASE("a request that was answered is not suspected when a rack is lost") {
  Fixture fixture;
  const auto lose_rack = [&fixture](int at) {
    for (int count = 0; count < 3; ++count) {
      fixture.detector.Record(CrashOf(++fixture.upstreams, {"request-hot"}),
                              At(at + 10 * count));
    }
  };
  lose_rack(5000);
  schema::QuarantineReport answer = AnswerTo("request-hot");
  answer.answered.front().age = std::chrono::milliseconds(800);
  fixture.detector.Record(answer, At(5500));
  CHECK(fixture.Settle(At(9000)) == 0);
  lose_rack(10000);
  CHECK(fixture.Settle(At(14000)) == 0);
  // A third time without an answer since the first is no rack.
  lose_rack(15000);
  CHECK(fixture.Settle(At(19000)) == 1);
}

// A host that is cut off from upstreams that run takes them for crashed.
TEST_CASE("an upstream that is reached afterwards has not crashed") {
  Fixture fixture;
  std::vector<schema::QuarantineReport> reports;
  for (int upstream = 1; upstream <= 3; ++upstream) {
    reports.push_back(CrashOf(upstream, {"request-sound"}));
    fixture.detector.Record(reports.back(), At(1000));
  }
  fixture.detector.RecordReached(core::UpstreamId("u2"), {}, At(1100));
  CHECK(fixture.detector.crashes() == 2);
  for (schema::QuarantineReport& report : reports) {
    report.crashes.front().crash.age = std::chrono::milliseconds(500);
    fixture.detector.Record(report, At(1500));
  }
  CHECK(fixture.detector.crashes() == 2);
  CHECK(fixture.Settle(At(5000)) == 0);
  // It crashes later.
  fixture.detector.Record(CrashOf(2, {"request-sound"}), At(6000));
  CHECK(fixture.detector.crashes() == 3);
}

// Only the control host that had reached the upstream knew that it had not
// crashed; the leader after it took the reports for evidence.
TEST_CASE("all control hosts know that a suspected upstream was reached") {
  Fixture next_leader;
  std::vector<schema::QuarantineReport> reports;
  for (int upstream = 1; upstream <= 3; ++upstream) {
    reports.push_back(CrashOf(upstream, {"request-sound"}));
    next_leader.detector.Record(reports.back(), At(1000));
  }
  Bundle news;
  schema::QuarantineReport reached;
  reached.reached.push_back(
      {core::UpstreamId("u2"), {}, std::chrono::milliseconds(50)});
  news.Add(reached, At(1150));
  CHECK_FALSE(news.empty());
  next_leader.detector.Record(news.Take(At(1200)), At(1200));
  CHECK(news.empty());
  CHECK(next_leader.detector.crashes() == 2);
  // The other reports come again.
  for (schema::QuarantineReport& report : reports) {
    report.crashes.front().crash.age = std::chrono::milliseconds(500);
    next_leader.detector.Record(report, At(1500));
  }
  CHECK(next_leader.detector.crashes() == 2);
  CHECK(next_leader.Settle(At(5000)) == 0);
}

// Each upstream that ends leaves several requests that never come again.
TEST_CASE("a whole request is watched from its second crash on") {
  Fixture fixture;
  const auto watched = [&fixture] {
    return fixture.detector.Watched(fixture.table.content()).size();
  };
  fixture.Crash(1, {"request-a"}, 1000);
  fixture.detector.Record(CrashOf(fixture.upstreams, {"request-b"}), At(1000));
  CHECK(watched() == 0);
  fixture.Crash(1, {"request-a"}, 2000);
  CHECK(watched() == 1);
}

}  // namespace foxquay::quarantine
