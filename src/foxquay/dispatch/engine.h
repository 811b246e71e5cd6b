#ifndef FOXQUAY_DISPATCH_ENGINE_H_
#define FOXQUAY_DISPATCH_ENGINE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/dispatch/action.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/dispatch/fwd.h"

namespace foxquay::dispatch {

/// Identity of the host that an engine runs on.
struct EngineOptions {
  core::HostId host;
  core::DataCentreId data_centre;
  std::uint64_t seed = 1;  ///< Seed of all random choices.
};

/// Schedules the requests of one host: admission, queueing, choice of
/// upstreams, retries, resumption and outcomes.
///
/// A completion runs as a sequence of legs. A leg generates a limited number of
/// tokens on a chain of upstreams, each of which runs a range of the model's
/// layers (a stage). If a leg fails, the next one resumes at the first token
/// that was not delivered, under a higher epoch. A service call runs on a
/// single upstream. A request that must not run twice and has an idempotency
/// key first claims that key in the replicated control state.
///
/// The engine is a deterministic state machine: events and times go in, actions
/// come out, and it performs no I/O. Not thread-safe: callers serialize all
/// calls.
class Engine {
 public:
  explicit Engine(EngineOptions options);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// Applies an event and returns the actions to carry out, in order.
  ///
  /// Events for requests or legs that have ended are ignored, except that a
  /// late ClaimDecided may release its claim.
  ///
  /// Precondition: `now` does not decrease from call to call.
  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           core::Instant now);

  /// Returns the time at which Handle must be called with Tick at the latest,
  /// or nothing if no timer is set.
  [[nodiscard]] std::optional<core::Instant> NextDeadline() const;

  /// Returns the number of requests for which Finish was not returned yet.
  [[nodiscard]] std::size_t OpenRequests() const noexcept;

  /// Returns the unused fraction, 0 to 1, of the in-flight limits that this
  /// host has on its upstreams; 0 if no upstream accepts work.
  [[nodiscard]] double FreeCapacity() const noexcept;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_ENGINE_H_
