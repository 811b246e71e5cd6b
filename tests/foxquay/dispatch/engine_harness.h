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

/// One upstream, seen from its own side.
struct FakeUpstream {
  schema::Announcement announced;
  bool listed = false;   ///< Whether the engine was told of it.
  bool crashed = false;  ///< Fails visibly.
  bool hung = false;     ///< Does not answer.
  bool disabled = false;
};

/// A leg, seen from the upstreams.
struct FakeLeg {
  StartLeg start;
  std::uint32_t token = 0;       ///< Next token to run.
  std::size_t stage = 0;         ///< Next stage of that token.
  std::uint32_t next_layer = 0;  ///< Next layer of that token.
  bool canceled = false;
  std::optional<LegEnded> end;    ///< Follows the tokens in the outbox.
  std::deque<LegToken> outbox;    ///< On their way to the engine.
  std::vector<LegToken> history;  ///< For duplicates.
};

/// A service call, seen from the upstream.
struct FakeCall {
  CallService call;
  bool executed = false;
};

/// What the caller and the claim log know of a request.
struct FakeRequest {
  Submission submission;
  core::Instant deadline;
  std::uint32_t answer_tokens = 0;  ///< Tokens of its whole answer.
  std::uint32_t delivered = 0;
  std::uint64_t epoch = 0;
  std::optional<core::LegId> running;  ///< Leg or call the engine counts on.
  /// Legs and calls, but for those that ended as refused or unsent.
  std::uint32_t dispatches = 0;
  bool lost = false;  ///< A leg or call may have run and has no answer.
  std::uint32_t executions = 0;  ///< Of a call.
  bool granted = false;
  std::uint32_t recorded_outcomes = 0;  ///< RecordOutcome.
  bool caller_gone = false;
  std::set<core::UpstreamId> failed;       ///< Known culprits since progress.
  std::vector<core::UpstreamId> suspects;  ///< Stages of the last silent leg.
  std::optional<Finish> finish;
};

/// State of an idempotency key in the claim log.
struct FakeClaim {
  core::RequestId holder;
  std::optional<core::Outcome> outcome;
  std::uint32_t executions = 0;
};

/// A claim proposal and its decision, both still under way.
struct FakeProposal {
  core::RequestId request;
  std::string key;
  std::optional<ClaimDecision> decision;
};

/// An engine among fake callers, upstreams and a fake claim log. Throws
/// std::logic_error when an invariant of docs/design.md is broken.
class EngineHarness {
 public:
  EngineHarness();

  void Submit(bool service, bool no_repeat, std::uint32_t tokens,
              std::uint32_t key, std::uint32_t timeout_ms);
  /// Announces an upstream with layers first to last.
  void Announce(std::size_t index, std::uint32_t first, std::uint32_t last);
  void SetLeaving(std::size_t index);
  void Withdraw(std::size_t index);
  void WithdrawHalf();
  void SetCrashed(std::size_t index, bool crashed);
  void SetHung(std::size_t index, bool hung);
  void ToggleEnabled(std::size_t index);  ///< Disables or enables it by policy.
  /// Runs a leg's next token as far as its stages answer.
  void RunLeg(std::size_t pick, bool name_culprit);
  void RefuseLeg(std::size_t pick);
  /// Hands the engine the next token or end of a leg.
  void Receive(std::size_t pick);
  void ReceiveOutOfOrder(std::size_t pick, std::size_t position);
  void ReceiveDuplicate(std::size_t pick, std::size_t position);
  void ExecuteCall(std::size_t pick);
  void AnswerCall(std::size_t pick);
  void FailCall(std::size_t pick);
  void CloseCaller(std::size_t pick);
  void CommitClaim(std::size_t pick);
  void DecideClaim(std::size_t pick, bool unavailable);
  void SetAdmission(bool open);
  void Advance(std::uint32_t ms);

  /// Returns whether some request ended with this outcome.
  [[nodiscard]] bool HasOutcome(core::Outcome outcome) const;
  /// Returns whether a request was complete after a leg of it was lost.
  [[nodiscard]] bool HasResumedCompletion() const;

  /// Lets time pass until every request must have ended, and checks the rest.
  void RunToEnd();

 private:
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
  void CheckDispatch(const FakeRequest& request,
                     const core::UpstreamId& upstream) const;
  void Dispatch(FakeRequest& request, core::LegId leg);
  void RecordFailure(core::LegId leg,
                     const std::optional<core::UpstreamId>& culprit);
  void RunStage(FakeLeg& leg, const Stage& stage);
  void FinishToken(FakeLeg& leg);
  void PublishUpstreams();
  void PublishPolicy();
  static void CheckMayRun(const FakeRequest& request);
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
  /// Runs of (request, epoch, token, layer).
  std::map<
      std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t>,
      int>
      runs_;
  /// Runs of (request, token, layer) of protected requests.
  std::map<std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>, int>
      protected_runs_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_TESTS_DISPATCH_WORLD_H_
