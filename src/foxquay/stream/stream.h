#ifndef FOXQUAY_STREAM_STREAM_H_
#define FOXQUAY_STREAM_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/outcome.h"
#include "foxquay/core/time.h"
#include "foxquay/stream/fwd.h"

namespace foxquay::stream {

/// Reason why a leg ended. A leg is one attempt to run part of an answer on a
/// chain of upstreams.
enum class LegEnd : std::uint8_t {
  kStop,      ///< The model ended its answer.
  kLength,    ///< The answer reached max_tokens.
  kChunk,     ///< The leg produced all tokens it was asked for.
  kRefused,   ///< The upstream refused it; nothing of it ran.
  kFailed,    ///< The connection or a stage failed.
  kCanceled,  ///< A CancelLeg action took effect.
};

/// State of a request.
enum class Phase : std::uint8_t {
  kClaiming,  ///< Waits for its claim; nothing is dispatched.
  kWaiting,   ///< Waits for its next leg or call.
  kRunning,   ///< A leg or call is running.
  kFinished,  ///< Its outcome is final.
};

/// What a request needs after an event.
enum class Next : std::uint8_t {
  kNothing,   ///< The event changed nothing.
  kContinue,  ///< A further leg, after one that succeeded.
  kRetry,     ///< A further leg or call, after one that failed.
  kComplete,  ///< Nothing; its whole answer was delivered.
  kGiveUp,    ///< A call of GiveUp: no further leg or call is allowed.
};

/// What to do with a token that arrived.
enum class TokenVerdict : std::uint8_t {
  kDrop,     ///< Drop it: duplicate, or not of the running leg.
  kDeliver,  ///< Deliver it: it is the next of the answer.
  kLast,     ///< Deliver it: it reaches max_tokens.
  kGap,      ///< Out of order or beyond its leg: fail the leg.
};

/// Conditions under which a request is run.
struct Terms {
  bool no_repeat = false;  ///< Must not run more than once, even in part.
  bool claim = false;      ///< Must be claimed before anything is dispatched.
  std::uint32_t max_tokens = 0;  ///< Zero for a service call.
  core::Instant deadline;
};

/// Range of tokens that one leg runs.
struct LegTerms {
  std::uint64_t epoch = 0;  ///< Rises with each leg or call of the request.
  std::uint32_t first_token = 0;  ///< Index in the answer.
  std::uint32_t count = 0;        ///< Largest number of tokens.
};

/// State machine of one request: its legs or calls one after the other, the
/// order of its tokens and its outcome. Not thread-safe.
class Stream {
 public:
  explicit Stream(Terms terms);

  [[nodiscard]] Phase phase() const noexcept { return phase_; }
  [[nodiscard]] const Terms& terms() const noexcept { return terms_; }
  /// Returns the running leg or call, if any.
  [[nodiscard]] std::optional<core::LegId> leg() const noexcept { return leg_; }
  /// Returns the tokens delivered so far, in order.
  [[nodiscard]] const std::vector<std::string>& delivered() const noexcept {
    return delivered_;
  }
  /// Returns whether anything of the request may have run.
  [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }
  /// Returns the time by which the running leg must deliver its next token, if
  /// a leg is running.
  [[nodiscard]] std::optional<core::Instant> token_deadline() const noexcept {
    return token_deadline_;
  }

  /// Allows dispatch once the claim is granted.
  ///
  /// Precondition: the phase is kClaiming.
  void GrantClaim();

  /// Starts the next leg under a new epoch, with at most `max_leg_tokens`
  /// tokens but at least one. Each token must arrive within `token_timeout` of
  /// the one before it.
  ///
  /// Precondition: the phase is kWaiting.
  [[nodiscard]] LegTerms StartLeg(core::LegId leg, std::uint32_t max_leg_tokens,
                                  core::Duration token_timeout,
                                  core::Instant now);
  /// Starts a service call under a new epoch.
  ///
  /// Precondition: the phase is kWaiting.
  void StartCall(core::LegId leg);

  /// Applies a token of any leg of this request; `index` counts from the start
  /// of the answer.
  [[nodiscard]] TokenVerdict AddToken(core::LegId leg, std::uint64_t epoch,
                                      std::uint32_t index,
                                      const std::string& text,
                                      core::Instant now);
  /// Ends a leg. Has no effect unless it is the running one.
  [[nodiscard]] Next EndLeg(core::LegId leg, LegEnd end);
  /// Ends a service call that was answered. Has no effect unless it is the
  /// running one.
  [[nodiscard]] Next CompleteCall(core::LegId leg);
  /// Ends a service call that failed. Has no effect unless it is the running
  /// one. `sent` is whether any of the call may have been sent.
  [[nodiscard]] Next FailCall(core::LegId leg, bool sent);

  /// Ends the request without its whole answer and returns its outcome.
  ///
  /// Precondition: the phase is not kFinished.
  [[nodiscard]] core::Outcome GiveUp();

 private:
  [[nodiscard]] bool IsRunning(core::LegId leg) const noexcept;
  /// Enters kRunning under a new epoch.
  void Dispatch(core::LegId leg);
  /// Ends a leg or call of which nothing ran; it is retried unless there were
  /// too many failures in a row.
  Next EndNotRun();
  /// Ends a leg or call that may have run in part; it is retried only if the
  /// request may be repeated.
  Next EndFailed();
  /// Ends a leg that reported success; fails it if tokens are missing.
  Next EndSucceeded(LegEnd end);
  Next Complete();

  Terms terms_;
  Phase phase_;
  std::optional<core::LegId> leg_;
  std::uint64_t epoch_ = 0;
  std::uint32_t leg_end_ = 0;  ///< Index after the last token of the leg.
  /// `may_have_run_` without the running leg or call.
  bool may_have_run_before_leg_ = false;
  bool may_have_run_ = false;
  /// Failed legs since the last token.
  std::uint32_t consecutive_failures_ = 0;
  core::Duration token_timeout_{};
  std::optional<core::Instant> token_deadline_;
  std::vector<std::string> delivered_;
};

}  // namespace foxquay::stream

#endif  // FOXQUAY_STREAM_STREAM_H_
