#include "foxquay/gateway/verdict.h"

namespace foxquay::gateway {

const char* Name(Verdict verdict) noexcept {
  switch (verdict) {
    case Verdict::kAnswer:
      return "answer";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kFailure:
      return "failure";
    case Verdict::kUnprovenRefusal:
      return "unproven-refusal";
    case Verdict::kNoAnswer:
      return "no-answer";
  }
  return "";
}

bool PromisesNotRun(unsigned status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

namespace internal {

Verdict JudgePartner(unsigned status, const ResponseInfo& info,
                     const JudgedRequest& request) {
  // The other host cannot know that an earlier send of this one may have run.
  const bool untrue =
      request.may_have_run || (info.is_signed && !request.may_repeat);
  return PromisesNotRun(status) && untrue ? Verdict::kUnprovenRefusal
                                          : Verdict::kAnswer;
}

Verdict JudgeUpstream(unsigned status, const ResponseInfo& info,
                      const JudgedRequest& request) {
  if (info.not_run) {
    if (status < 400) return Verdict::kNoAnswer;
    const bool contradictory = info.is_signed && !request.may_repeat;
    return contradictory ? Verdict::kUnprovenRefusal : Verdict::kNotRun;
  }
  if (PromisesNotRun(status) && !request.may_repeat) {
    return Verdict::kUnprovenRefusal;
  }
  if (status >= 500) return Verdict::kFailure;
  return info.is_signed ? Verdict::kAnswer : Verdict::kNoAnswer;
}

}  // namespace internal

Verdict Judge(unsigned status, const ResponseInfo& info,
              const JudgedRequest& request) {
  if (info.is_encoded) return Verdict::kNoAnswer;
  if (status / 100 == 2) {
    return info.is_signed && !info.not_run ? Verdict::kAnswer
                                           : Verdict::kNoAnswer;
  }
  return request.via_partner ? internal::JudgePartner(status, info, request)
                             : internal::JudgeUpstream(status, info, request);
}

}  // namespace foxquay::gateway
