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

/// Whether a request owns its idempotency key.
enum class ClaimState : std::uint8_t {
  kNone,       ///< It needs no claim.
  kRequested,  ///< The claim is not decided.
  kHeld,       ///< The claim was granted to this request.
};

/// A request that has not finished.
struct Request {
  Request(Submission submitted, stream::Terms terms)
      : submission(std::move(submitted)), stream(terms) {}

  Submission submission;
  stream::Stream stream;
  ClaimState claim = ClaimState::kNone;
  core::Instant claim_deadline = core::Instant::max();
  /// Version that runs it; absent until the caller or its first leg sets it.
  std::optional<std::string> version;
  std::vector<std::uint64_t> prefixes;     ///< Hashes of its prompt.
  std::vector<core::UpstreamId> excluded;  ///< Failed this request.
  /// Stages of its last leg that ended without a known culprit.
  std::vector<core::UpstreamId> suspects;
  /// Upstreams one of which failed its last leg or call.
  std::vector<core::UpstreamId> possible_culprits;
  /// Latest start, while it waits, that lets it meet its deadline.
  core::Instant latest_start = core::Instant::max();
  bool caller_gone = false;
  core::Instant timer_due = core::Instant::max();  ///< Time of its timer.

  /// Returns its completion, or null for a service call.
  [[nodiscard]] const Completion* completion() const noexcept {
    return std::get_if<Completion>(&submission.work);
  }
};

/// A leg or call that upstreams may still be running.
struct Leg {
  core::RequestId request;
  std::vector<core::UpstreamId> stages;
  std::uint32_t first_token = 0;
  core::Instant started;
  std::optional<core::Instant> first_token_at;
  core::Instant last_token_at;
  std::vector<routing::StageUse> stage_uses;  ///< Layers of its stages.
  core::Duration link_time{};                 ///< Of one token.
  core::Instant sampled_at;            ///< Token of the last speed sample.
  std::uint32_t unsampled_tokens = 0;  ///< Tokens since then.
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_REQUEST_H_
