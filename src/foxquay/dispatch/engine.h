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

/// Identity of the host whose traffic an engine decides.
struct EngineOptions {
  core::HostId host;
  core::DataCentreId data_centre;
  std::uint64_t seed = 1;  ///< Of all random choices.
};

/// Decides all traffic of one host: admission, queueing, chains, retries,
/// resume and outcomes.
///
/// Not thread-safe: callers serialize Handle. Performs no I/O.
class Engine {
 public:
  explicit Engine(EngineOptions options);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// Applies an event and returns the actions to carry out, in order.
  ///
  /// Precondition: `now` never decreases. Events about requests or legs that
  /// have ended are ignored.
  [[nodiscard]] std::vector<Action> Handle(const Event& event,
                                           core::Instant now);

  /// Returns the time by which Handle must be called with Tick, if any.
  [[nodiscard]] std::optional<core::Instant> NextDeadline() const;

  /// Returns the number of requests that have not finished.
  [[nodiscard]] std::size_t OpenRequests() const noexcept;

  /// Returns the share of this host's capacity that is free, 0 to 1.
  [[nodiscard]] double FreeCapacity() const noexcept;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_ENGINE_H_
