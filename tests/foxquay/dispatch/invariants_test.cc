#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <ostream>

#include "engine_harness.h"
#include "foxquay/core/outcome.h"

namespace foxquay::dispatch {
namespace {

/// Model state of RapidCheck. Empty, since every command applies in every
/// state.
struct Model {};

enum class Kind : std::uint8_t {
  kSubmitCompletion,
  kSubmitCall,
  kAnnounce,
  kLeave,
  kWithdraw,
  kWithdrawHalf,
  kCrash,
  kRestart,
  kHang,
  kRecover,
  kToggle,
  kRunLeg,
  kRefuseLeg,
  kReceive,
  kReorder,
  kDuplicate,
  kExecuteCall,
  kAnswerCall,
  kFailCall,
  kCloseCaller,
  kCommitClaim,
  kDecideClaim,
  kClaimUnavailable,
  kCloseAdmission,
  kOpenAdmission,
  kAdvance,
};

/// Names of the kinds, indexed by Kind, for the output of failing sequences.
constexpr std::array<const char*, 26> kKindNames{
    "submit completion",
    "submit call",
    "announce",
    "leave",
    "withdraw",
    "withdraw half",
    "crash",
    "restart",
    "hang",
    "recover",
    "toggle",
    "run leg",
    "refuse leg",
    "receive",
    "reorder",
    "duplicate",
    "execute call",
    "answer call",
    "fail call",
    "close caller",
    "commit claim",
    "decide claim",
    "claim unavailable",
    "close admission",
    "open admission",
    "advance",
};

/// RapidCheck size of a command sequence. Shorter sequences seldom lose a leg,
/// resume it and then receive a token of the lost leg.
constexpr int kSteps = 400;

/// One operation on the harness. `a` and `b` are its arguments.
struct Step : rc::state::Command<Model, EngineHarness> {
  Kind kind;
  std::uint32_t a;
  std::uint32_t b;

  Step()
      : kind(*rc::gen::weightedElement<Kind>({{6, Kind::kSubmitCompletion},
                                              {6, Kind::kSubmitCall},
                                              {4, Kind::kAnnounce},
                                              {1, Kind::kLeave},
                                              {1, Kind::kWithdraw},
                                              {1, Kind::kWithdrawHalf},
                                              {2, Kind::kCrash},
                                              {3, Kind::kRestart},
                                              {2, Kind::kHang},
                                              {3, Kind::kRecover},
                                              {1, Kind::kToggle},
                                              {48, Kind::kRunLeg},
                                              {2, Kind::kRefuseLeg},
                                              {44, Kind::kReceive},
                                              {2, Kind::kReorder},
                                              {2, Kind::kDuplicate},
                                              {2, Kind::kExecuteCall},
                                              {3, Kind::kAnswerCall},
                                              {3, Kind::kFailCall},
                                              {1, Kind::kCloseCaller},
                                              {5, Kind::kCommitClaim},
                                              {5, Kind::kDecideClaim},
                                              {1, Kind::kClaimUnavailable},
                                              {1, Kind::kCloseAdmission},
                                              {2, Kind::kOpenAdmission},
                                              {4, Kind::kAdvance}})),
        a(*rc::gen::inRange<std::uint32_t>(0, 64)),
        b(*rc::gen::inRange<std::uint32_t>(0, 64)) {}

  void apply([[maybe_unused]] Model& model) const override {}

  void run([[maybe_unused]] const Model& model,
           EngineHarness& harness) const override {
    switch (kind) {
      case Kind::kSubmitCompletion:
        return harness.Submit(false, b % 4 == 0, 1 + a % 6, b % 3,
                              500 + 100 * b);
      case Kind::kSubmitCall:
        return harness.Submit(true, b % 2 == 0, 0, a % 3, 500 + 100 * b);
      case Kind::kAnnounce:
        return harness.Announce(a, a % kLayers, b % kLayers);
      case Kind::kLeave:
        return harness.SetLeaving(a);
      case Kind::kWithdraw:
        return harness.Withdraw(a);
      case Kind::kWithdrawHalf:
        return harness.WithdrawHalf();
      case Kind::kCrash:
        return harness.SetCrashed(a, true);
      case Kind::kRestart:
        return harness.SetCrashed(a, false);
      case Kind::kHang:
        return harness.SetHung(a, true);
      case Kind::kRecover:
        return harness.SetHung(a, false);
      case Kind::kToggle:
        return harness.ToggleEnabled(a);
      case Kind::kRunLeg:
        for (std::uint32_t i = 0; i <= a % 3; ++i) {
          harness.RunLeg(a, b % 2 == 0);
        }
        return;
      case Kind::kRefuseLeg:
        return harness.RefuseLeg(a);
      case Kind::kReceive:
        for (std::uint32_t i = 0; i <= b % 4; ++i) harness.Receive(a);
        return;
      case Kind::kReorder:
        return harness.ReceiveOutOfOrder(a, b);
      case Kind::kDuplicate:
        return harness.ReceiveDuplicate(a, b);
      case Kind::kExecuteCall:
        return harness.ExecuteCall(a);
      case Kind::kAnswerCall:
        return harness.AnswerCall(a);
      case Kind::kFailCall:
        return harness.FailCall(a);
      case Kind::kCloseCaller:
        return harness.CloseCaller(a);
      case Kind::kCommitClaim:
        return harness.CommitClaim(a);
      case Kind::kDecideClaim:
        return harness.DecideClaim(a, false);
      case Kind::kClaimUnavailable:
        return harness.DecideClaim(a, true);
      case Kind::kCloseAdmission:
        return harness.SetAdmission(false);
      case Kind::kOpenAdmission:
        return harness.SetAdmission(true);
      case Kind::kAdvance:
        return harness.Advance(a * a);
    }
  }

  void show(std::ostream& out) const override {
    out << kKindNames.at(static_cast<std::size_t>(kind)) << " " << a << " "
        << b;
  }
};

}  // namespace

// Checks I1 to I4 of docs/design.md, see EngineHarness, under random sequences
// of crashed and hung upstreams, duplicate, late and reordered answers, leaving
// and withdrawn upstreams, cancellation, disconnected callers, and claim
// decisions that are late or lost.
TEST_CASE("the invariants hold under every mix of faults", "[fuzz]") {
  REQUIRE(rc::check("invariants I1 to I4", [] {
    EngineHarness harness;
    const auto steps = *rc::gen::resize(
        kSteps, rc::state::gen::commands(
                    Model{}, rc::state::gen::execOneOfWithArgs<Step>()));
    rc::state::runAll(steps, Model{}, harness);
    harness.RunToEnd();
    RC_CLASSIFY(harness.HasOutcome(core::Outcome::kComplete), "complete");
    RC_CLASSIFY(harness.HasResumedCompletion(), "complete after a resume");
    RC_CLASSIFY(harness.HasOutcome(core::Outcome::kNotRun), "not-run");
    RC_CLASSIFY(harness.HasOutcome(core::Outcome::kUnknown), "unknown");
    RC_CLASSIFY(harness.HasOutcome(core::Outcome::kFailed), "failed");
  }));
}

}  // namespace foxquay::dispatch
