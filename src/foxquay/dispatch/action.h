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

/// Runs tokens [first_token, first_token + count) of a request on a chain.
struct StartLeg {
  core::LegId leg;
  core::RequestId request;
  std::uint64_t epoch = 0;
  Chain chain;
  std::uint32_t first_token = 0;
  std::uint32_t count = 0;
  std::string prompt;
  std::vector<std::string> delivered;  ///< Tokens before first_token.
  core::TrafficClass priority = core::TrafficClass::kInteractive;
  core::Duration time_left{};  ///< Until the request's deadline.
  std::string adapter;
  std::string version;
};

/// Stops a leg; its LegEnded still follows.
struct CancelLeg {
  core::LegId leg;
};

/// Sends a service call to an upstream.
struct CallService {
  core::LegId leg;
  core::RequestId request;
  core::UpstreamId upstream;
  std::string address;
  core::Duration time_left{};  ///< Until the request's deadline.
};

/// Asks the control state for a claim before anything is dispatched.
struct RequestClaim {
  core::RequestId request;
  std::string key;
};

/// Gives back a claim under which nothing was dispatched.
struct ReleaseClaim {
  core::RequestId request;
  std::string key;
};

/// Records how a claimed request ended.
struct RecordOutcome {
  core::RequestId request;
  std::string key;
  core::Outcome outcome = core::Outcome::kUnknown;
  std::uint32_t status = 0;
  std::string body;
};

/// Sends the next token to the caller.
struct DeliverToken {
  core::RequestId request;
  std::uint32_t index = 0;
  std::string text;
};

/// Ends a request; nothing follows for it.
struct Finish {
  core::RequestId request;
  core::Outcome outcome = core::Outcome::kNotRun;
  std::string reason;  ///< Empty for a complete answer.
  std::optional<core::Duration> retry_after;
  std::optional<ClaimDecision> claim;  ///< Set if a claim decided the outcome.
  std::uint32_t status = 0;  ///< HTTP status of a recorded service answer.
  std::string body;          ///< Recorded service answer.
};

using Action = std::variant<StartLeg, CancelLeg, CallService, RequestClaim,
                            ReleaseClaim, RecordOutcome, DeliverToken, Finish>;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_ACTION_H_
