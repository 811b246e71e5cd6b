#ifndef FOXQUAY_GATEWAY_VERDICT_H_
#define FOXQUAY_GATEWAY_VERDICT_H_

#include <cstdint>

#include "foxquay/gateway/protocol.h"

namespace foxquay::gateway {

/// What the head of a response proves about the request that was sent.
enum class Verdict : std::uint8_t {
  /// The answer to the request, which is passed on.
  kAnswer,
  /// The upstream states that it did not run the request.
  kNotRun,
  /// The upstream failed and may have run the request; passed on if the request
  /// is not sent again.
  kFailure,
  /// A status by which callers take a request that may run once for not run,
  /// although it may have run. Never passed on.
  kUnprovenRefusal,
  /// Not the upstream's answer. The upstream may have run the request.
  kNoAnswer,
};

/// What a verdict depends on beside the response.
struct JudgedRequest {
  bool may_repeat = false;    ///< It may run more than once.
  bool via_partner = false;   ///< Another host has answered.
  bool may_have_run = false;  ///< Before the send that was answered.
};

/// Returns the name of a verdict as used in logs. Thread-safe.
[[nodiscard]] const char* Name(Verdict verdict) noexcept;

/// Returns whether a status promises callers that the request has not run and
/// will not. Thread-safe.
[[nodiscard]] bool PromisesNotRun(unsigned status) noexcept;

/// Judges a response by its head. Thread-safe.
///
/// Sound upstreams sign what they answer to a request that they have run, and
/// encode no body. A success without a signature, with an encoded body or with
/// the statement that the request was not run is no answer, whoever passes it
/// on: its caller would take it for the proof that the request has run. Nor is
/// another response below 500 without a signature, unless it is a refusal or
/// another host's own.
///
/// That a request has not run is shown only by the upstream's statement, and
/// for a request that may run once only if the response is not signed as well.
/// A refusal of another host is its own, and true, unless it is signed: then
/// the host has passed on what its upstream answered.
///
/// @param status Status of the response, 200 to 599.
/// @param info What the fields of the response state.
[[nodiscard]] Verdict Judge(unsigned status, const ResponseInfo& info,
                            const JudgedRequest& request);

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_VERDICT_H_
