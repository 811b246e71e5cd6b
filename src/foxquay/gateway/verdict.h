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
  /// Not the upstream's answer. The upstream may have run the request.
  kNoAnswer,
};

/// Returns the name of a verdict as used in logs. Thread-safe.
[[nodiscard]] const char* Name(Verdict verdict) noexcept;

/// Judges a response by its head. Thread-safe.
///
/// Sound upstreams sign what they answer to a request that they have run, and
/// encode no body. A success without a signature, with an encoded body or with
/// the statement that the request was not run is no answer, whoever passes it
/// on: its caller would take it for the proof that the request has run. Nor is
/// another response below 500 without a signature, unless it is a refusal or
/// another host's own.
///
/// @param status Status of the response; 100 to 199 are no final responses.
/// @param info What the fields of the response state.
/// @param via_partner Whether another host has answered, whose statements are
///   about itself.
[[nodiscard]] Verdict Judge(unsigned status, const ResponseInfo& info,
                            bool via_partner);

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_VERDICT_H_
