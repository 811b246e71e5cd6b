#include "foxquay/stream/stream.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace foxquay::stream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Instant kStart{seconds(1000)};
constexpr core::Duration kTimeout = seconds(2);

Stream SampleStream(std::uint32_t max_tokens, bool no_repeat = false) {
  return Stream(Terms{no_repeat, false, max_tokens, kStart + seconds(60)});
}

LegTerms StartSample(Stream& stream, std::uint64_t leg) {
  return stream.StartLeg(core::LegId(leg), 4, kTimeout, kStart);
}

}  // namespace

// Guards against reporting an answer as complete while a token is missing.
TEST_CASE("a leg that ends without all its tokens is retried") {
  Stream stream = SampleStream(8);
  const LegTerms terms = StartSample(stream, 1);
  REQUIRE(stream.AddToken(core::LegId(1), terms.epoch, 0, "a", kStart) ==
          TokenVerdict::kDeliver);
  SECTION("chunk") {
    CHECK(stream.EndLeg(core::LegId(1), LegEnd::kChunk) == Next::kRetry);
  }
  SECTION("length") {
    CHECK(stream.EndLeg(core::LegId(1), LegEnd::kLength) == Next::kRetry);
  }
  SECTION("a gap") {
    CHECK(stream.AddToken(core::LegId(1), terms.epoch, 2, "c", kStart) ==
          TokenVerdict::kGap);
    CHECK(stream.EndLeg(core::LegId(1), LegEnd::kFailed) == Next::kRetry);
  }
  const LegTerms again = StartSample(stream, 2);
  CHECK(again.epoch > terms.epoch);
  CHECK(again.first_token == 1);
}

// Guards against accepting tokens beyond the leg, which the next leg would
// produce again.
TEST_CASE("a token beyond its leg is refused") {
  Stream stream = SampleStream(8);
  const LegTerms terms = StartSample(stream, 1);
  for (std::uint32_t i = 0; i < 4; ++i) {
    REQUIRE(stream.AddToken(core::LegId(1), terms.epoch, i, "a", kStart) ==
            TokenVerdict::kDeliver);
  }
  CHECK(stream.AddToken(core::LegId(1), terms.epoch, 4, "a", kStart) ==
        TokenVerdict::kGap);
}

// Guards against retrying a request forever on one upstream after another.
TEST_CASE("consecutive failures end a request and a token resets the count") {
  Stream stream = SampleStream(8);
  std::uint64_t leg = 1;
  for (; leg <= 3; ++leg) {
    static_cast<void>(StartSample(stream, leg));
    REQUIRE(stream.EndLeg(core::LegId(leg), LegEnd::kFailed) == Next::kRetry);
  }
  const LegTerms terms = StartSample(stream, leg);
  SECTION("no progress") {
    CHECK(stream.EndLeg(core::LegId(leg), LegEnd::kFailed) == Next::kGiveUp);
    CHECK(stream.GiveUp() == core::Outcome::kFailed);
  }
  SECTION("progress") {
    REQUIRE(stream.AddToken(core::LegId(leg), terms.epoch, 0, "a", kStart) ==
            TokenVerdict::kDeliver);
    CHECK(stream.EndLeg(core::LegId(leg), LegEnd::kFailed) == Next::kRetry);
  }
}

// Guards against the outcome not-run for a request of which something may have
// run.
TEST_CASE("the outcome of an abandoned request depends on what may have run") {
  CHECK(SampleStream(8).GiveUp() == core::Outcome::kNotRun);
  Stream refused = SampleStream(8);
  static_cast<void>(StartSample(refused, 1));
  CHECK(refused.EndLeg(core::LegId(1), LegEnd::kRefused) == Next::kRetry);
  CHECK(refused.GiveUp() == core::Outcome::kNotRun);
  Stream running = SampleStream(8);
  static_cast<void>(StartSample(running, 1));
  CHECK(running.GiveUp() == core::Outcome::kFailed);
  Stream no_repeat_stream = SampleStream(8, true);
  static_cast<void>(StartSample(no_repeat_stream, 1));
  CHECK(no_repeat_stream.EndLeg(core::LegId(1), LegEnd::kFailed) ==
        Next::kGiveUp);
  CHECK(no_repeat_stream.GiveUp() == core::Outcome::kUnknown);
}

// Guards against a token timeout that is not restarted when a token arrives.
TEST_CASE("each token restarts the token timeout of its leg") {
  Stream stream = SampleStream(8);
  const LegTerms terms = StartSample(stream, 1);
  CHECK(stream.token_deadline() == kStart + kTimeout);
  const core::Instant later = kStart + milliseconds(1500);
  static_cast<void>(
      stream.AddToken(core::LegId(1), terms.epoch, 0, "a", later));
  CHECK(stream.token_deadline() == later + kTimeout);
}

}  // namespace foxquay::stream
