#include "foxquay/gateway/verdict.h"

#include <catch2/catch.hpp>

namespace foxquay::gateway {
namespace {

ResponseInfo Signed() {
  ResponseInfo info;
  info.is_signed = true;
  return info;
}

}  // namespace

TEST_CASE("a success is an answer only if its upstream signed it") {
  const unsigned status = GENERATE(200U, 201U, 202U, 204U, 206U, 299U);
  const bool via_partner = GENERATE(false, true);
  CHECK(Judge(status, Signed(), via_partner) == Verdict::kAnswer);
  CHECK(Judge(status, ResponseInfo(), via_partner) == Verdict::kNoAnswer);
  ResponseInfo contradictory = Signed();
  contradictory.not_run = true;
  CHECK(Judge(status, contradictory, via_partner) == Verdict::kNoAnswer);
}

TEST_CASE("a response with an encoded body is not the upstream's") {
  const unsigned status = GENERATE(200U, 302U, 404U, 421U, 500U, 503U);
  const bool via_partner = GENERATE(false, true);
  ResponseInfo encoded = Signed();
  encoded.is_encoded = true;
  CHECK(Judge(status, encoded, via_partner) == Verdict::kNoAnswer);
  encoded.not_run = true;
  CHECK(Judge(status, encoded, via_partner) == Verdict::kNoAnswer);
}

TEST_CASE("a refusal is believed, signed or not") {
  const unsigned status = GENERATE(400U, 421U, 429U, 503U);
  ResponseInfo refusal;
  refusal.not_run = true;
  CHECK(Judge(status, refusal, false) == Verdict::kNotRun);
  refusal.is_signed = true;
  CHECK(Judge(status, refusal, false) == Verdict::kNotRun);
}

TEST_CASE("a redirection that states that nothing has run is no answer") {
  ResponseInfo info = Signed();
  info.not_run = true;
  CHECK(Judge(302, info, false) == Verdict::kNoAnswer);
}

TEST_CASE("an error is a failure of the upstream, a refusal of a partner not") {
  CHECK(Judge(500, Signed(), false) == Verdict::kFailure);
  CHECK(Judge(503, Signed(), false) == Verdict::kFailure);
  CHECK(Judge(502, ResponseInfo(), false) == Verdict::kFailure);
  CHECK(Judge(404, Signed(), false) == Verdict::kAnswer);
  CHECK(Judge(404, ResponseInfo(), false) == Verdict::kNoAnswer);
  CHECK(Judge(404, ResponseInfo(), true) == Verdict::kAnswer);
  CHECK(Judge(503, ResponseInfo(), true) == Verdict::kAnswer);
}

}  // namespace foxquay::gateway
