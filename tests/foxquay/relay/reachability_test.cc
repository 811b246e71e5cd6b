#include "foxquay/relay/reachability.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kApp("app");
const core::ServiceId kModel("model");

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

core::UpstreamId Upstream(int number) {
  return core::UpstreamId("u" + std::to_string(number));
}

/// Returns a state in which `app` has the upstreams 1 to 3 and `model` 11 to
/// 18.
Reachability MakeReachability() {
  Reachability reachability(1);
  std::map<core::ServiceId, std::vector<core::UpstreamId>> upstreams;
  for (int number = 1; number <= 3; ++number) {
    upstreams[kApp].push_back(Upstream(number));
  }
  for (int number = 11; number <= 18; ++number) {
    upstreams[kModel].push_back(Upstream(number));
  }
  reachability.Set(upstreams);
  return reachability;
}

/// Records that each due inquiry of `app` fails, or succeeds.
void AnswerInquiries(Reachability& reachability, const core::ServiceId& service,
                     bool reached, core::Instant now) {
  for (const core::UpstreamId& upstream : reachability.DueInquiries(now)) {
    if (reached) {
      reachability.RecordReached(service, upstream, now);
    } else {
      reachability.RecordUnreachable(service, upstream, now);
    }
  }
}

}  // namespace

TEST_CASE("a host is cut off if inquiries to other upstreams fail as well") {
  Reachability reachability = MakeReachability();
  reachability.RecordUnreachable(kModel, Upstream(11), At(0));
  CHECK_FALSE(reachability.CutOff(kModel));
  AnswerInquiries(reachability, kModel, false, At(1));
  CHECK(reachability.CutOff(kModel));
  CHECK_FALSE(reachability.CutOff(kApp));
  CHECK_FALSE(reachability.CutOffFromAll());
  reachability.RecordUnreachable(kApp, Upstream(1), At(10));
  AnswerInquiries(reachability, kApp, false, At(11));
  CHECK(reachability.CutOffFromAll());
}

// Upstreams that end for other reasons.
TEST_CASE("a host that reaches another upstream is not cut off") {
  Reachability reachability = MakeReachability();
  for (int second = 0; second < 8; ++second) {
    const core::Instant now = At(1000 * second);
    reachability.RecordUnreachable(kModel, Upstream(11 + second), now);
    CHECK(reachability.DueInquiries(now).size() == 2);
    reachability.RecordReached(kModel, Upstream(11 + (second + 1) % 8), now);
    CHECK_FALSE(reachability.CutOff(kModel));
  }
}

// A rack of upstreams ends, and sends meet several of them in a row.
TEST_CASE("an upstream that was reached shows that there is a path") {
  Reachability reachability = MakeReachability();
  reachability.RecordUnreachable(kModel, Upstream(11), At(0));
  (void)reachability.DueInquiries(At(0));
  reachability.RecordReached(kModel, Upstream(18), At(2));
  for (int number = 12; number <= 17; ++number) {
    reachability.RecordUnreachable(kModel, Upstream(number), At(10 * number));
  }
  CHECK_FALSE(reachability.CutOff(kModel));
  // A cut that begins now is found out after the interval.
  const core::Instant later = At(2) + kInquiryInterval;
  reachability.RecordUnreachable(kModel, Upstream(11), later);
  AnswerInquiries(reachability, kModel, false, later);
  CHECK(reachability.CutOff(kModel));
}

TEST_CASE("failures that are long ago do not add up to a cut") {
  Reachability reachability = MakeReachability();
  for (int count = 0; count < 8; ++count) {
    reachability.RecordUnreachable(kModel, Upstream(11 + count),
                                   At(2500 * count));
    (void)reachability.DueInquiries(At(2500 * count));
  }
  CHECK_FALSE(reachability.CutOff(kModel));
}

TEST_CASE("failures in quick succession lead to few inquiries") {
  Reachability reachability = MakeReachability();
  std::size_t inquiries = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    reachability.RecordUnreachable(kModel, Upstream(11), At(ms));
    inquiries += reachability.DueInquiries(At(ms)).size();
  }
  CHECK(inquiries <= kMinUnreachable);
}

// A single packet that gets through would end it, and requests fail again.
TEST_CASE("a cut ends when two upstreams are reached in a row") {
  Reachability reachability = MakeReachability();
  reachability.RecordUnreachable(kApp, Upstream(1), At(0));
  AnswerInquiries(reachability, kApp, false, At(1));
  REQUIRE(reachability.CutOff(kApp));
  CHECK(reachability.DueInquiries(At(100)).empty());
  auto due = reachability.DueInquiries(At(600));
  REQUIRE(due.size() == 1);
  reachability.RecordReached(kApp, due.front(), At(600));
  CHECK(reachability.CutOff(kApp));
  auto second = reachability.DueInquiries(At(601));
  REQUIRE(second.size() == 1);
  CHECK(second.front() != due.front());
  reachability.RecordUnreachable(kApp, second.front(), At(602));
  CHECK(reachability.CutOff(kApp));
  AnswerInquiries(reachability, kApp, true, At(1200));
  AnswerInquiries(reachability, kApp, true, At(1201));
  CHECK_FALSE(reachability.CutOff(kApp));
}

// All upstreams of a small service had ended.
TEST_CASE("an upstream that starts is inquired at once") {
  Reachability reachability = MakeReachability();
  reachability.RecordUnreachable(kApp, Upstream(1), At(0));
  AnswerInquiries(reachability, kApp, false, At(1));
  REQUIRE(reachability.CutOff(kApp));
  reachability.Set({{kApp, {Upstream(4), Upstream(5)}}});
  CHECK(reachability.DueInquiries(At(10)).size() >= 2);
  reachability.RecordReached(kApp, Upstream(4), At(11));
  reachability.RecordReached(kApp, Upstream(5), At(11));
  CHECK_FALSE(reachability.CutOff(kApp));
  reachability.Set({});
  CHECK_FALSE(reachability.CutOffFromAll());
}

// Open connections of which nothing comes back show no failure for seconds.
TEST_CASE("silence leads to an inquiry") {
  Reachability reachability = MakeReachability();
  reachability.RecordSilence(kModel, Upstream(12), At(0));
  CHECK(reachability.DueInquiries(At(1)) ==
        std::vector<core::UpstreamId>{Upstream(12)});
  reachability.RecordSilence(kModel, Upstream(12), At(100));
  CHECK(reachability.DueInquiries(At(101)).empty());
  reachability.RecordUnreachable(kModel, Upstream(12), At(400));
  reachability.RecordSilence(kModel, Upstream(13), At(1001));
  AnswerInquiries(reachability, kModel, false, At(1002));
  reachability.RecordUnreachable(kModel, Upstream(14), At(1100));
  CHECK(reachability.CutOff(kModel));
}

}  // namespace foxquay::relay
