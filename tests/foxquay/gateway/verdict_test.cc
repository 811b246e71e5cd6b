#include "foxquay/gateway/verdict.h"

#include <catch2/catch.hpp>

namespace foxquay::gateway {
namespace {

ResponseInfo Signed() {
  ResponseInfo info;
  info.is_signed = true;
  return info;
}

ResponseInfo NotRun() {
  ResponseInfo info;
  info.not_run = true;
  return info;
}

ResponseInfo SignedNotRun() {
  ResponseInfo info = NotRun();
  info.is_signed = true;
  return info;
}

constexpr JudgedRequest kOnce{false, false, false};
constexpr JudgedRequest kRepeatable{true, false, false};
constexpr JudgedRequest kOnceViaPartner{false, true, false};
constexpr JudgedRequest kRepeatableViaPartner{true, true, false};

}  // namespace

TEST_CASE("a success is an answer only if its upstream signed it") {
  const unsigned status = GENERATE(200U, 201U, 202U, 204U, 206U, 299U);
  const JudgedRequest request =
      GENERATE(kOnce, kRepeatable, kOnceViaPartner, kRepeatableViaPartner);
  CHECK(Judge(status, Signed(), request) == Verdict::kAnswer);
  CHECK(Judge(status, ResponseInfo(), request) == Verdict::kNoAnswer);
  CHECK(Judge(status, NotRun(), request) == Verdict::kNoAnswer);
  CHECK(Judge(status, SignedNotRun(), request) == Verdict::kNoAnswer);
}

TEST_CASE("a response with an encoded body is not the upstream's") {
  const unsigned status = GENERATE(200U, 302U, 404U, 421U, 500U, 503U);
  const JudgedRequest request =
      GENERATE(kOnce, kRepeatable, kOnceViaPartner, kRepeatableViaPartner);
  ResponseInfo encoded = Signed();
  encoded.is_encoded = true;
  CHECK(Judge(status, encoded, request) == Verdict::kNoAnswer);
  encoded.is_signed = false;
  encoded.not_run = true;
  CHECK(Judge(status, encoded, request) == Verdict::kNoAnswer);
}

TEST_CASE("only a statement that is not signed proves that nothing has run") {
  const unsigned status = GENERATE(400U, 421U, 429U, 503U);
  CHECK(Judge(status, NotRun(), kOnce) == Verdict::kNotRun);
  CHECK(Judge(status, NotRun(), kRepeatable) == Verdict::kNotRun);
  CHECK(Judge(status, SignedNotRun(), kOnce) == Verdict::kUnprovenRefusal);
  CHECK(Judge(status, SignedNotRun(), kRepeatable) == Verdict::kNotRun);
  CHECK(Judge(302, NotRun(), kOnce) == Verdict::kNoAnswer);
}

TEST_CASE("a status that promises that nothing has run needs a proof") {
  for (unsigned status = 300; status < 600; ++status) {
    CAPTURE(status);
    const bool promises =
        status == 408 || status == 421 || status == 429 || status == 503;
    CHECK(PromisesNotRun(status) == promises);
    const Verdict proven = status >= 500 ? Verdict::kFailure : Verdict::kAnswer;
    const Verdict unsigned_one =
        status >= 500 ? Verdict::kFailure : Verdict::kNoAnswer;
    CHECK(Judge(status, Signed(), kRepeatable) == proven);
    CHECK(Judge(status, ResponseInfo(), kRepeatable) == unsigned_one);
    CHECK(Judge(status, Signed(), kOnce) ==
          (promises ? Verdict::kUnprovenRefusal : proven));
    CHECK(Judge(status, ResponseInfo(), kOnce) ==
          (promises ? Verdict::kUnprovenRefusal : unsigned_one));
  }
}

TEST_CASE("a refusal of another host is its own unless it is signed") {
  const unsigned status = GENERATE(408U, 421U, 429U, 503U);
  CHECK(Judge(status, ResponseInfo(), kOnceViaPartner) == Verdict::kAnswer);
  CHECK(Judge(status, Signed(), kOnceViaPartner) == Verdict::kUnprovenRefusal);
  CHECK(Judge(status, Signed(), kRepeatableViaPartner) == Verdict::kAnswer);
  // The other host cannot know of an earlier send.
  const JudgedRequest sent_before{GENERATE(false, true), true, true};
  CHECK(Judge(status, ResponseInfo(), sent_before) ==
        Verdict::kUnprovenRefusal);
  CHECK(Judge(502, ResponseInfo(), sent_before) == Verdict::kAnswer);
  CHECK(Judge(404, ResponseInfo(), sent_before) == Verdict::kAnswer);
}

}  // namespace foxquay::gateway
