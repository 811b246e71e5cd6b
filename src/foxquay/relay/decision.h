#ifndef FOXQUAY_RELAY_DECISION_H_
#define FOXQUAY_RELAY_DECISION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/fleet/table.h"
#include "foxquay/relay/upstreams.h"
#include "foxquay/schema/fleet.h"

namespace foxquay::relay {

/// A request that has arrived and may be served.
struct RequestContext {
  std::string name;  ///< The caller's name for it, for logs.
  /// Configuration that allowed it; owns `route` and `service`.
  std::shared_ptr<const fleet::Table> table;
  const schema::Route* route = nullptr;
  const schema::Service* service = nullptr;
  core::WorkspaceId workspace;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  Work work;
  core::Instant arrived;
  core::Instant deadline;  ///< When the caller or the route gives up.
  std::optional<std::uint64_t> resume_after;  ///< Last event the caller has.
};

/// Send the request along a way.
struct Send {
  std::vector<Hop> hops;
  unsigned attempt = 1;
  /// Whether a kept connection may be used; its loss would leave open whether
  /// the request has run.
  bool reuse_connection = true;
};

/// Keep the request until a later decision.
struct Hold {};

/// Answer the request finally.
struct Refuse {
  unsigned status = 503;  ///< 503 only if it has not run and never will.
  std::optional<core::Duration> retry_after;
  std::string reason;
};

/// Cut the answer off, as its rest cannot be had.
struct Abort {
  std::string reason;
};

using Decision = std::variant<Send, Hold, Refuse, Abort>;

/// How a send ended without a complete answer.
enum class LossKind : std::uint8_t {
  kNotSent,     ///< Nothing reached the upstream.
  kNotRun,      ///< The upstream stated that it did not run the request.
  kUnanswered,  ///< It may have run.
  kCut,         ///< An answer began and ended early.
  kStalled,     ///< Nothing came for too long.
  kError,       ///< The upstream answered with an error of its own.
};

/// Returns the name of a loss for logs.
[[nodiscard]] const char* Name(LossKind kind) noexcept;

struct Loss {
  LossKind kind = LossKind::kUnanswered;
  std::string fault_address;  ///< Upstream at fault, if the answer names it.
};

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_DECISION_H_
