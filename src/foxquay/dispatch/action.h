#ifndef FOXQUAY_DISPATCH_ACTION_H_
#define FOXQUAY_DISPATCH_ACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/event.h"

namespace foxquay::dispatch {

/// Starts a leg that generates tokens [first_token, first_token + count) of a
/// request on a chain. LegToken and LegEnded report its progress.
struct StartLeg {
  core::LegId leg;
  core::RequestId request;
  std::uint64_t epoch = 0;  ///< Grows with each leg of the request.
  Chain chain;
  std::uint32_t first_token = 0;  ///< Position in the whole answer, from 0.
  std::uint32_t count = 0;        ///< Most tokens to generate.
  std::string prompt;
  std::vector<std::string> delivered;  ///< Tokens before `first_token`.
  core::TrafficClass priority = core::TrafficClass::kInteractive;
  core::Duration time_left{};  ///< Until the request's deadline.
  std::string adapter;
  std::string version;
};

/// Cancels a leg or service call. Its LegEnded, ServiceAnswered or
/// ServiceFailed must still follow; until then it counts as in flight.
struct CancelLeg {
  core::LegId leg;
};

/// Sends a service call to an upstream.
struct CallService {
  core::LegId leg;
  core::RequestId request;
  core::UpstreamId upstream;
  std::string address;         ///< IP:PORT of the upstream.
  core::Duration time_left{};  ///< Until the request's deadline.
};

/// Requests a claim on an idempotency key from the control state. Nothing of
/// the request is dispatched before ClaimDecided grants it.
struct RequestClaim {
  core::RequestId request;
  std::string key;
};

/// Releases a claim under which nothing was dispatched.
struct ReleaseClaim {
  core::RequestId request;
  std::string key;
};

/// Records the outcome of a claimed request in the control state.
struct RecordOutcome {
  core::RequestId request;
  std::string key;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::uint32_t status = 0;  ///< HTTP status of the answer, if there is one.
  std::string body;          ///< Answer; empty if it is too long to record.
};

/// Sends the next token to the caller.
struct DeliverToken {
  core::RequestId request;
  std::uint32_t index = 0;  ///< Position in the whole answer, from 0.
  std::string text;
};

/// Ends a request. No further DeliverToken or Finish of this request follows.
struct Finish {
  core::RequestId request;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string reason;  ///< Error message; empty for a complete answer.
  std::optional<core::Duration> retry_after;  ///< Delay before a retry.
  std::optional<ClaimDecision> claim;  ///< Set if a claim decided the outcome.
  /// HTTP status of a complete answer; 0 for a completion without a claim.
  std::uint32_t status = 0;
  std::string body;  ///< Answer that belongs to `status`.
};

using Action = std::variant<StartLeg, CancelLeg, CallService, RequestClaim,
                            ReleaseClaim, RecordOutcome, DeliverToken, Finish>;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_ACTION_H_
