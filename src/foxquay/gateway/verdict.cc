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
    case Verdict::kNoAnswer:
      return "no-answer";
  }
  return "";
}

Verdict Judge(unsigned status, const ResponseInfo& info, bool via_partner) {
  if (info.is_encoded) return Verdict::kNoAnswer;
  if (status / 100 == 2) {
    return info.is_signed && !info.not_run ? Verdict::kAnswer
                                           : Verdict::kNoAnswer;
  }
  if (via_partner) return Verdict::kAnswer;
  if (info.not_run) {
    return status >= 400 ? Verdict::kNotRun : Verdict::kNoAnswer;
  }
  if (status >= 500) return Verdict::kFailure;
  return info.is_signed ? Verdict::kAnswer : Verdict::kNoAnswer;
}

}  // namespace foxquay::gateway
