#ifndef FOXQUAY_DISPATCH_REQUEST_H_
#define FOXQUAY_DISPATCH_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/routing/upstreams.h"
#include "foxquay/stream/stream.h"

namespace foxquay::dispatch {

/// State of a request's claim on its idempotency key.
enum class ClaimState : std::uint8_t {
  kNone,       ///< The request needs or holds no claim.
  kRequested,  ///< The claim was requested and is not decided.
  kHeld,       ///< The claim was granted to this request.
};

/// A request that has not finished.
struct Request {
  Request(Submission submitted, stream::Terms terms)
      : submission(std::move(submitted)), stream(terms) {}

  Submission submission;
  stream::Stream stream;
  ClaimState claim = ClaimState::kNone;
  /// Time at which an undecided claim is given up.
  core::Instant claim_deadline = core::Instant::max();
  /// Model version that runs it; absent until the caller or the first leg sets
  /// it.
  std::optional<std::string> version;
  /// Hashes of the prefixes of its prompt, as routing::PrefixHashes returns
  /// them.
  std::vector<std::uint64_t> prefixes;
  /// Upstreams that failed this request and must not run it again until a leg
  /// succeeds.
  std::vector<core::UpstreamId> excluded;
  /// Stages of its last leg that failed without a known culprit.
  std::vector<core::UpstreamId> suspects;
  /// Upstreams of which one, which need not be known, failed its last leg or
  /// call. A retry is charged to their retry budgets.
  std::vector<core::UpstreamId> possible_culprits;
  /// Latest time at which it can start and still meet its deadline, as
  /// estimated when it was queued; max() if it may start at any time.
  core::Instant latest_start = core::Instant::max();
  /// Whether the caller disconnected while a claimed call runs on.
  bool caller_gone = false;
  /// Time of its earliest timer; timers_ entries with other times are stale.
  core::Instant timer_due = core::Instant::max();

  /// Returns the completion to generate, or null for a service call.
  [[nodiscard]] const Completion* completion() const noexcept {
    return std::get_if<Completion>(&submission.work);
  }
};

/// A leg or service call that upstreams may still be running.
struct Leg {
  core::RequestId request;
  std::vector<core::UpstreamId> stages;  ///< One upstream for a service call.
  std::uint32_t first_token = 0;  ///< Position in the whole answer, from 0.
  core::Instant started;
  std::optional<core::Instant> first_token_at;
  core::Instant last_token_at;
  std::vector<routing::StageUse> stage_uses;  ///< Number of layers per stage.
  core::Duration link_time{};  ///< Time per token spent on links.
  core::Instant sampled_at;    ///< Time of the token of the last speed sample.
  std::uint32_t unsampled_tokens = 0;  ///< Tokens since `sampled_at`.
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_REQUEST_H_
