#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"
#include "steps.h"

namespace foxquay::control {
namespace {

using schema::ClaimStatus;

/// Operations: c claims a key, g releases an attempt, f records a complete
/// response, l records that the response was lost, r restarts a host, j
/// registers a new incarnation of a running host, e ends an incarnation, d
/// delivers a proposal, s restores the state from a snapshot, w advances time.
constexpr const char* kOps = "ccccccgggfflrejddddddddddddddddsw";

enum class Phase { kWaiting, kDispatched, kFinished };

struct Attempt {
  schema::ClaimOwner owner;
  std::string key;
  Phase phase = Phase::kWaiting;
};

/// Three hosts that claim, dispatch, release and restart, one replicated state,
/// and a network that delivers each proposal late, repeatedly or never. The
/// oracle records the attempt that was dispatched under each key.
class Simulation {
 public:
  Simulation() {
    for (unsigned host = 0; host < 3; ++host) Restart(host);
    for (std::size_t sent = 0; sent < 3; ++sent) Deliver(sent, true);
  }

  /// Checks that every claimed key belongs to a live incarnation, since only
  /// the end of a live incarnation moves its claims to unknown.
  void Check() const {
    for (const schema::StoredClaim& claim : state_.claims().Save()) {
      RC_ASSERT(
          claim.state != schema::ClaimState::kClaimed ||
          state_.config().Live(claim.owner.host, claim.owner.incarnation));
    }
  }

  void Run(const Step& step) {
    const unsigned host = step.host % 3;
    switch (step.op) {
      case 'c':
        return Claim(host, step.pick % 3);
      case 'g':
        return ReleaseAttempt(host, step.pick);
      case 'f':
      case 'l':
        return Record(host, step.pick, step.op == 'f');
      case 'r':
        std::erase_if(attempts_, [&](const Attempt& attempt) {
          return attempt.owner.host == Host(host);
        });
        return Restart(host);
      case 'j':
        return Restart(host);
      case 'e':
        proposals_.emplace_back(
            schema::EndIncarnation{Host(host), incarnations_[host]});
        return;
      case 'd':
        // Half of the deliveries are of one of the latest four proposals.
        return Deliver(step.pick % 2 == 0
                           ? proposals_.size() - 1 -
                                 step.pick / 2 %
                                     std::min<std::size_t>(proposals_.size(), 4)
                           : step.pick / 2 % proposals_.size(),
                       step.peer % 5 > 0);
      case 's':
        state_ = State::FromSnapshot(state_.Snapshot()).value();
        return;
      case 'w':
        time_ += std::chrono::seconds(step.pick % 40);
    }
  }

 private:
  static core::HostId Host(unsigned host) {
    return core::HostId("h" + std::to_string(host));
  }
  static std::string Body(const schema::ClaimOwner& owner) {
    return owner.host.value() + "/" + std::to_string(owner.incarnation) + "/" +
           std::to_string(owner.attempt);
  }

  void Restart(unsigned host) {
    ++incarnations_[host];
    proposals_.emplace_back(
        schema::RegisterHost{Host(host), incarnations_[host], {}});
  }

  void Claim(unsigned host, unsigned key) {
    const schema::ClaimOwner owner{Host(host), incarnations_[host],
                                   ++last_attempt_};
    const std::string name = std::to_string(1100 + 20 * key) + ".k";
    attempts_.push_back({owner, name, Phase::kWaiting});
    proposals_.emplace_back(schema::Claim{owner, workspace_, name, "digest"});
  }

  Attempt* Pick(unsigned host, unsigned pick, Phase phase) {
    std::vector<Attempt*> found;
    for (Attempt& attempt : attempts_) {
      if (attempt.owner.host == Host(host) && attempt.phase == phase) {
        found.push_back(&attempt);
      }
    }
    return found.empty() ? nullptr : found[pick % found.size()];
  }

  void ReleaseAttempt(unsigned host, unsigned pick) {
    Attempt* attempt = Pick(host, pick, Phase::kWaiting);
    if (attempt == nullptr) return;
    attempt->phase = Phase::kFinished;
    proposals_.emplace_back(
        schema::ReleaseClaim{attempt->owner, workspace_, attempt->key});
  }

  void Record(unsigned host, unsigned pick, bool complete) {
    Attempt* attempt = Pick(host, pick, Phase::kDispatched);
    if (attempt == nullptr) return;
    attempt->phase = Phase::kFinished;
    proposals_.emplace_back(schema::RecordClaim{
        attempt->owner, workspace_, attempt->key, complete, 200,
        complete ? Body(attempt->owner) : "", "digest"});
  }

  void Deliver(std::size_t position, bool result_received) {
    const schema::ControlCommand command = proposals_[position];
    const auto result = state_.Apply(++index_, time_, schema::Encode(command));
    const auto* claim = std::get_if<schema::Claim>(&command);
    if (claim == nullptr || !result_received) return;
    for (Attempt& attempt : attempts_) {
      if (attempt.owner == claim->owner && attempt.phase == Phase::kWaiting) {
        HandleResult(attempt, std::get<schema::ClaimResult>(result));
      }
    }
  }

  void HandleResult(Attempt& attempt, const schema::ClaimResult& result) {
    attempt.phase = Phase::kFinished;
    if (result.status == ClaimStatus::kComplete) {
      RC_ASSERT(result.body == dispatched_[attempt.key]);
    }
    if (result.status != ClaimStatus::kGranted) return;
    RC_ASSERT(!dispatched_.contains(attempt.key));
    dispatched_[attempt.key] = Body(attempt.owner);
    attempt.phase = Phase::kDispatched;
  }

  core::WorkspaceId workspace_{"w"};
  core::WallTime time_{std::chrono::seconds(1000)};
  State state_;
  std::uint64_t index_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::map<unsigned, std::uint64_t> incarnations_;
  std::vector<Attempt> attempts_;
  std::vector<schema::ControlCommand> proposals_;
  std::map<std::string, std::string> dispatched_;
};

// Guards against a request with an idempotency key that is dispatched twice, or
// answered with the response of another attempt, when proposals and results are
// lost, delayed or repeated and hosts restart.
TEST_CASE("a claimed key is dispatched at most once", "[fuzz]") {
  REQUIRE(rc::check([] {
    const auto steps = *Steps(kOps, 8.0);
    Simulation simulation;
    for (const Step& step : steps) {
      simulation.Run(step);
      simulation.Check();
    }
  }));
}

}  // namespace
}  // namespace foxquay::control
