#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <ostream>

#include "foxquay/core/outcome.h"
#include "world.h"

namespace foxquay::dispatch {
namespace {

/// The commands apply in every state, so the model holds nothing.
struct Model {};

enum class Kind : std::uint8_t {
  kSubmitCompletion,
  kSubmitCall,
  kAnnounce,
  kLeave,
  kWithdraw,
  kWithdrawHalf,
  kKill,
  kRevive,
  kMute,
  kUnmute,
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

/// Names of the kinds, as failing sequences show them.
constexpr std::array<const char*, 26> kNames{
    "submit completion",
    "submit call",
    "announce",
    "leave",
    "withdraw",
    "withdraw half",
    "kill",
    "revive",
    "mute",
    "unmute",
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

/// Size of a sequence. Shorter ones seldom lose a leg, resume it and then meet
/// a token of the lost one.
constexpr int kSteps = 400;

/// One step of the world; `a` and `b` select its objects.
struct Step : rc::state::Command<Model, World> {
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
                                              {2, Kind::kKill},
                                              {3, Kind::kRevive},
                                              {2, Kind::kMute},
                                              {3, Kind::kUnmute},
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

  void run([[maybe_unused]] const Model& model, World& world) const override {
    switch (kind) {
      case Kind::kSubmitCompletion:
        return world.Submit(false, b % 4 == 0, 1 + a % 6, b % 3, 500 + 100 * b);
      case Kind::kSubmitCall:
        return world.Submit(true, b % 2 == 0, 0, a % 3, 500 + 100 * b);
      case Kind::kAnnounce:
        return world.Announce(a, a % kLayers, b % kLayers);
      case Kind::kLeave:
        return world.Leave(a);
      case Kind::kWithdraw:
        return world.Withdraw(a);
      case Kind::kWithdrawHalf:
        return world.WithdrawHalf();
      case Kind::kKill:
        return world.SetDead(a, true);
      case Kind::kRevive:
        return world.SetDead(a, false);
      case Kind::kMute:
        return world.SetMute(a, true);
      case Kind::kUnmute:
        return world.SetMute(a, false);
      case Kind::kToggle:
        return world.Toggle(a);
      case Kind::kRunLeg:
        for (std::uint32_t i = 0; i <= a % 3; ++i) world.RunLeg(a, b % 2 == 0);
        return;
      case Kind::kRefuseLeg:
        return world.RefuseLeg(a);
      case Kind::kReceive:
        for (std::uint32_t i = 0; i <= b % 4; ++i) world.Receive(a);
        return;
      case Kind::kReorder:
        return world.ReceiveOutOfOrder(a, b);
      case Kind::kDuplicate:
        return world.ReceiveAgain(a, b);
      case Kind::kExecuteCall:
        return world.ExecuteCall(a);
      case Kind::kAnswerCall:
        return world.AnswerCall(a);
      case Kind::kFailCall:
        return world.FailCall(a);
      case Kind::kCloseCaller:
        return world.CloseCaller(a);
      case Kind::kCommitClaim:
        return world.CommitClaim(a);
      case Kind::kDecideClaim:
        return world.DecideClaim(a, false);
      case Kind::kClaimUnavailable:
        return world.DecideClaim(a, true);
      case Kind::kCloseAdmission:
        return world.SetAdmission(false);
      case Kind::kOpenAdmission:
        return world.SetAdmission(true);
      case Kind::kAdvance:
        return world.Advance(a * a);
    }
  }

  void show(std::ostream& out) const override {
    out << kNames.at(static_cast<std::size_t>(kind)) << " " << a << " " << b;
  }
};

}  // namespace

// Guards I1 to I4 of docs/design.md under any mix of upstream death, silence,
// duplicate, late and reordered answers, leaving, withdrawal, cancellation,
// dead callers and claim answers that are late or missing.
TEST_CASE("the invariants hold under every mix of faults", "[fuzz]") {
  REQUIRE(rc::check("invariants I1 to I4", [] {
    World world;
    const auto steps = *rc::gen::resize(
        kSteps, rc::state::gen::commands(
                    Model{}, rc::state::gen::execOneOfWithArgs<Step>()));
    rc::state::runAll(steps, Model{}, world);
    world.Settle();
    RC_CLASSIFY(world.Saw(core::Outcome::kComplete), "complete");
    RC_CLASSIFY(world.SawResume(), "complete after a resume");
    RC_CLASSIFY(world.Saw(core::Outcome::kNotRun), "not-run");
    RC_CLASSIFY(world.Saw(core::Outcome::kUnknown), "unknown");
    RC_CLASSIFY(world.Saw(core::Outcome::kFailed), "failed");
  }));
}

}  // namespace foxquay::dispatch
