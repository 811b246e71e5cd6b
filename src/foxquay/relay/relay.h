#ifndef FOXQUAY_RELAY_RELAY_H_
#define FOXQUAY_RELAY_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/relay/decision.h"
#include "foxquay/relay/retry_budget.h"
#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {

/// Requests that one host keeps waiting; more are refused at once.
inline constexpr std::size_t kMaxHeld = 48;

/// Decides for each request of one host where it is sent, whether it is sent
/// again, held or refused.
///
/// What may run at most once is sent again only if nothing of it was sent or
/// the upstream states that it did not run. Not thread-safe; performs no I/O.
class Relay {
 public:
  Relay(const BudgetOptions& budget, std::uint64_t seed);

  [[nodiscard]] Upstreams& upstreams() noexcept { return upstreams_; }
  /// Notes that the process has just started.
  void Start(core::Instant now) { budget_.Start(now); }
  /// Sets the number of hosts that serve callers.
  void SetHosts(std::size_t hosts, core::Instant now);

  /// Takes a request. Precondition: the id is new.
  [[nodiscard]] Decision Arrive(core::RequestId id, RequestContext context,
                                core::Instant now);
  /// Notes that the first part of the answer was passed on.
  void BeginAnswer(core::RequestId id);
  /// Takes the time between two events of the request's stream, or until its
  /// answer.
  void RecordLatency(core::RequestId id, core::Duration time,
                     core::Instant now);
  /// Takes the loss of the request's current send; after Refuse and Abort the
  /// request has ended.
  [[nodiscard]] Decision HandleLoss(core::RequestId id, const Loss& loss,
                                    core::Instant now);
  /// Moves a stream whose current send stalls to another way, if one exists and
  /// the budget has room. If not, nothing changes: silence is no proof of a
  /// loss, and the stream is better left waiting than cut.
  [[nodiscard]] std::optional<Send> Move(core::RequestId id, core::Instant now);
  /// Ends a request that was answered completely.
  void Complete(core::RequestId id);
  /// Ends a request whose caller has left.
  void Abandon(core::RequestId id);

  /// Returns decisions for held requests and for those past their deadline.
  [[nodiscard]] std::vector<std::pair<core::RequestId, Decision>> Review(
      core::Instant now);

  /// Returns the way of the current send; empty if it is held.
  [[nodiscard]] const std::vector<Hop>& Path(core::RequestId id) const;
  [[nodiscard]] const RequestContext& Context(core::RequestId id) const;
  [[nodiscard]] bool Contains(core::RequestId id) const {
    return requests_.contains(id);
  }
  [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t held() const noexcept { return held_; }

 private:
  struct State {
    RequestContext context;
    std::vector<Hop> hops;
    std::vector<core::UpstreamId> attempted;  ///< First hops that got it.
    std::optional<core::UpstreamId> failed;   ///< The latest of them to fail.
    unsigned sends = 0;                       ///< That reached an upstream.
    unsigned unsent = 0;                      ///< That reached none.
    bool may_have_run = false;
    bool answer_begun = false;  ///< The caller has a part of the answer.
    bool held = false;
    core::Instant hold_deadline;
  };

  Decision Route(core::RequestId id, State& state, core::Instant now);
  Decision GiveUp(core::RequestId id, const std::string& reason,
                  core::Duration retry_after, core::Instant now);
  void AttributeLoss(LossKind kind,
                     const std::optional<core::UpstreamId>& fault,
                     const std::vector<Hop>& hops, core::Instant now);
  [[nodiscard]] bool MayRetry(const State& state, LossKind kind) const;
  static void RecordAttempt(State& state, LossKind kind,
                            const core::UpstreamId& first,
                            const std::optional<core::UpstreamId>& fault);
  [[nodiscard]] FirstHops AllowedFirstHops(const State& state) const;
  void Release(State& state);
  void End(core::RequestId id);
  [[nodiscard]] core::Duration AddJitter(core::Duration duration);

  Upstreams upstreams_;
  RetryBudget budget_;
  std::mt19937_64 random_;
  std::map<core::RequestId, State> requests_;
  std::size_t held_ = 0;
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_RELAY_H_
