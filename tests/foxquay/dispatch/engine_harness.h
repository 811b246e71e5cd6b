#ifndef FOXQUAY_TESTS_DISPATCH_ENGINE_HARNESS_H_
#define FOXQUAY_TESTS_DISPATCH_ENGINE_HARNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "foxquay/dispatch/engine.h"

namespace foxquay::dispatch {

/// Layers of the model in these tests.
inline constexpr std::uint32_t kLayers = 6;

/// State of a simulated upstream.
struct FakeUpstream {
  schema::Announcement announced;
  bool listed = false;    ///< Whether it is in the list given to the engine.
  bool crashed = false;   ///< Whether legs that reach it fail with an error.
  bool hung = false;      ///< Whether legs that reach it make no progress.
  bool disabled = false;  ///< Whether the policy forbids new work.
};

/// State of a leg on its upstreams.
struct FakeLeg {
  StartLeg start;
  std::uint32_t token = 0;       ///< Index of the next token to generate.
  std::size_t stage = 0;         ///< Next stage of that token.
  std::uint32_t next_layer = 0;  ///< Next layer of that token.
  bool canceled = false;
  std::optional<LegEnded> end;    ///< Sent to the engine after the outbox.
  std::deque<LegToken> outbox;    ///< Tokens not yet received by the engine.
  std::vector<LegToken> history;  ///< All tokens, to be sent as duplicates.
};

/// State of a service call on its upstream.
struct FakeCall {
  CallService call;
  bool executed = false;
};

/// State of a request as observed by its caller, the upstreams and the claim
/// log.
struct FakeRequest {
  Submission submission;
  core::Instant deadline;
  std::uint32_t answer_tokens = 0;  ///< Number of tokens of its whole answer.
  std::uint32_t delivered = 0;      ///< Number of tokens delivered.
  std::uint64_t epoch = 0;
  std::optional<core::LegId> running;  ///< The engine's current leg or call.
  /// Number of legs and calls, except those that were refused or not sent.
  std::uint32_t dispatches = 0;
  /// Whether a leg or call that may have run ended without its answer.
  bool lost = false;
  std::uint32_t executions = 0;  ///< Number of times that a call was executed.
  bool granted = false;          ///< Whether its claim was granted.
  std::uint32_t recorded_outcomes = 0;  ///< Number of RecordOutcome actions.
  bool caller_gone = false;
  /// Known culprits of failures since its last leg that succeeded.
  std::set<core::UpstreamId> failed;
  /// Stages of its last leg that failed without a known culprit.
  std::vector<core::UpstreamId> suspects;
  std::optional<Finish> finish;
};

/// Entry of the claim log for an idempotency key.
struct FakeClaim {
  core::RequestId holder;  ///< Request that holds the claim.
  std::optional<core::Outcome> outcome;
  std::uint32_t executions = 0;
};

/// A claim that was requested and whose decision the engine has not received.
struct FakeProposal {
  core::RequestId request;
  std::string key;
  std::optional<ClaimDecision> decision;
};

/// Runs an engine against simulated callers, upstreams and a claim log.
///
/// Throws std::logic_error if a check fails, in particular if an invariant of
/// docs/design.md is violated:
///   I1  Each layer runs once and in order for each token of an epoch.
///   I2  Tokens are delivered once and in order, and none is missing from an
///       answer reported as complete.
///   I3  Nothing runs of a request that is reported as not-run.
///   I4  A request that must not be repeated runs at most once.
///
/// `index` arguments select an upstream; `pick` and `position` select among the
/// objects to which the operation applies. All are reduced modulo the number of
/// objects, and an operation that applies to no object has no effect.
class EngineHarness {
 public:
  EngineHarness();

  /// Submits a service call or a completion of at most `tokens` tokens. `key`
  /// numbers the idempotency key; 0 for none.
  void Submit(bool service, bool no_repeat, std::uint32_t tokens,
              std::uint32_t key, std::uint32_t timeout_ms);
  /// Lists an upstream, with layers `first` to `last` unless it is a service's.
  void Announce(std::size_t index, std::uint32_t first, std::uint32_t last);
  /// Announces that an upstream accepts no new work.
  void SetLeaving(std::size_t index);
  /// Removes an upstream from the list.
  void Withdraw(std::size_t index);
  /// Removes every second upstream from the list.
  void WithdrawHalf();
  void SetCrashed(std::size_t index, bool crashed);
  void SetHung(std::size_t index, bool hung);
  /// Enables or disables an upstream by policy.
  void ToggleEnabled(std::size_t index);
  /// Runs the stages of a leg's next token until one hangs or has crashed. In
  /// the latter case the leg ends, and names the culprit if `name_culprit`.
  void RunLeg(std::size_t pick, bool name_culprit);
  /// Ends a leg as refused, unless it has run.
  void RefuseLeg(std::size_t pick);
  /// Passes the next token or the end of a leg to the engine.
  void Receive(std::size_t pick);
  /// Passes any token of a leg's outbox to the engine.
  void ReceiveOutOfOrder(std::size_t pick, std::size_t position);
  /// Passes a token to the engine that a leg has sent before.
  void ReceiveDuplicate(std::size_t pick, std::size_t position);
  /// Executes a service call without answering it.
  void ExecuteCall(std::size_t pick);
  /// Executes a service call, unless it was executed, and answers it.
  void AnswerCall(std::size_t pick);
  /// Fails a service call, which may have been executed.
  void FailCall(std::size_t pick);
  void CloseCaller(std::size_t pick);
  /// Commits a requested claim to the claim log.
  void CommitClaim(std::size_t pick);
  /// Passes the decision on a committed claim to the engine; or kUnavailable if
  /// `unavailable`, even if the claim was not committed.
  void DecideClaim(std::size_t pick, bool unavailable);
  void SetAdmission(bool open);
  /// Advances the clock and sends Tick at each deadline of the engine.
  void Advance(std::uint32_t ms);

  /// Returns whether a request ended with this outcome.
  [[nodiscard]] bool HasOutcome(core::Outcome outcome) const;
  /// Returns whether a request completed after one of its legs was lost.
  [[nodiscard]] bool HasResumedCompletion() const;

  /// Advances the clock until every request must have ended, and checks that
  /// none is open and that every claim is recorded or released.
  void RunToEnd();

 private:
  /// Passes an event to the engine, then applies and checks its actions.
  void Handle(const Event& event);
  void Apply(const Action& action, const Event& event);
  void On(const StartLeg& action, const Event& event);
  void On(const CancelLeg& action, const Event& event);
  void On(const CallService& action, const Event& event);
  void On(const RequestClaim& action, const Event& event);
  void On(const ReleaseClaim& action, const Event& event);
  void On(const RecordOutcome& action, const Event& event);
  void On(const DeliverToken& action, const Event& event);
  void On(const Finish& action, const Event& event);
  /// Checks that the upstream may get work of the request.
  void CheckDispatch(const FakeRequest& request,
                     const core::UpstreamId& upstream) const;
  /// Checks that the request may be dispatched, and counts it.
  void Dispatch(FakeRequest& request, core::LegId leg);
  void RecordFailure(core::LegId leg,
                     const std::optional<core::UpstreamId>& culprit);
  /// Runs the layers of a stage for the leg's next token.
  void RunStage(FakeLeg& leg, const Stage& stage);
  /// Sends the token that has run all layers, and ends the leg if it is done.
  void FinishToken(FakeLeg& leg);
  void PublishUpstreams();
  void PublishPolicy();
  static void CheckMayRun(const FakeRequest& request);
  /// Returns a leg that is running or, if `with_outbox`, one of which the
  /// engine has yet to receive a token or the end; null if there is none.
  FakeLeg* PickLeg(std::size_t pick, bool with_outbox);
  FakeCall* PickCall(std::size_t pick);

  core::Instant now_;
  Engine engine_;
  std::vector<FakeUpstream> fleet_;
  std::map<std::uint64_t, FakeLeg> legs_;
  std::map<std::uint64_t, FakeCall> calls_;
  std::map<std::uint64_t, FakeRequest> requests_;
  std::map<std::string, FakeClaim> claims_;
  std::vector<FakeProposal> proposals_;
  /// Number of runs of (request, epoch, token, layer).
  std::map<
      std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t>,
      int>
      runs_;
  /// Number of runs of (request, token, layer) of requests with `no_repeat`.
  std::map<std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>, int>
      protected_runs_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_TESTS_DISPATCH_ENGINE_HARNESS_H_
