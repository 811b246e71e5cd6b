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

/// Why a leg ended.
enum class LegEnd : std::uint8_t {
  kStop,      ///< The model ended its answer.
  kLength,    ///< The answer reached max_tokens.
  kChunk,     ///< The leg produced the tokens it was asked for.
  kRefused,   ///< The upstream refused before running anything.
  kFailed,    ///< The connection or a stage failed.
  kCanceled,  ///< CancelLeg took effect.
};

/// Where a request stands.
enum class Phase : std::uint8_t {
  kClaiming,  ///< Awaits its claim; nothing is dispatched.
  kWaiting,   ///< Awaits its next leg or call.
  kRunning,   ///< A leg or call runs.
  kFinished,  ///< Its outcome is decided.
};

/// What a request needs after an event.
enum class Next : std::uint8_t {
  kNothing,   ///< The event changed nothing.
  kContinue,  ///< A further leg, after one that ended well.
  kRetry,     ///< A further leg or call, after one that did not.
  kComplete,  ///< Its whole answer was delivered.
  kGiveUp,    ///< No further leg or call is permitted; see GiveUp.
};

/// What to do with a token.
enum class TokenVerdict : std::uint8_t {
  kDrop,     ///< Late, duplicate, or of an older epoch.
  kDeliver,  ///< The next token of the answer.
  kLast,     ///< The next token, and the last that was asked for.
  kGap,      ///< A token before it is missing; the leg cannot continue.
};

/// What a request asked for.
struct Terms {
  bool no_repeat = false;  ///< May run at most once.
  bool claim = false;      ///< Must be claimed before anything is dispatched.
  std::uint32_t max_tokens = 0;  ///< Zero for a service call.
  core::Instant deadline;
};

/// Tokens that one leg runs.
struct LegTerms {
  std::uint64_t epoch = 0;
  std::uint32_t first_token = 0;
  std::uint32_t count = 0;
};

/// Lifecycle of one request: legs, epochs, token order and outcome.
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
  /// Returns when the running leg counts as silent, if one runs.
  [[nodiscard]] std::optional<core::Instant> token_deadline() const noexcept {
    return token_deadline_;
  }

  /// Permits dispatch. Precondition: the phase is kClaiming.
  void GrantClaim();

  /// Starts the next leg under a new epoch. Precondition: kWaiting.
  [[nodiscard]] LegTerms StartLeg(core::LegId leg, std::uint32_t max_leg_tokens,
                                  core::Duration token_timeout,
                                  core::Instant now);
  /// Starts a service call. Precondition: kWaiting.
  void StartCall(core::LegId leg);

  /// Applies a token of any leg of this request.
  [[nodiscard]] TokenVerdict AddToken(core::LegId leg, std::uint64_t epoch,
                                      std::uint32_t index,
                                      const std::string& text,
                                      core::Instant now);
  /// Ends a leg; other legs than the running one change nothing.
  [[nodiscard]] Next EndLeg(core::LegId leg, LegEnd end);
  /// Ends a service call that was answered.
  [[nodiscard]] Next CompleteCall(core::LegId leg);
  /// Ends a service call that failed; `sent` as in ServiceFailed.
  [[nodiscard]] Next FailCall(core::LegId leg, bool sent);

  /// Ends the request without its whole answer and returns its outcome.
  /// Precondition: it has not finished.
  [[nodiscard]] core::Outcome GiveUp();

 private:
  [[nodiscard]] bool IsRunning(core::LegId leg) const noexcept;
  void Dispatch(core::LegId leg);
  /// Ends a leg or call of which nothing ran.
  Next EndNotRun();
  /// Ends a leg or call that may have run in part.
  Next EndFailed();
  Next EndSucceeded(LegEnd end);
  Next Complete();

  Terms terms_;
  Phase phase_;
  std::optional<core::LegId> leg_;
  std::uint64_t epoch_ = 0;
  std::uint32_t leg_end_ = 0;  ///< Index after the last token of the leg.
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
