#ifndef FOXQUAY_CORE_OUTCOME_H_
#define FOXQUAY_CORE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "foxquay/core/fwd.h"

namespace foxquay::core {

/// How a request ended, as told to its caller.
enum class Outcome : std::uint8_t {
  kComplete,  ///< The whole answer was delivered.
  kNotRun,    ///< Nothing of the request was dispatched.
  kUnknown,   ///< A protected action was dispatched and its answer is lost.
  kFailed,    ///< Dispatched, not complete, and the caller may repeat it.
};

/// Traffic class of a request within its workspace.
enum class TrafficClass : std::uint8_t {
  kInteractive,  ///< A person waits for the answer.
  kBatch,        ///< Nobody waits.
};

/// Returns the name used in headers, logs and metrics.
[[nodiscard]] std::string_view Name(Outcome outcome) noexcept;
[[nodiscard]] std::string_view Name(TrafficClass traffic_class) noexcept;

/// Returns the class with this name, or nothing.
[[nodiscard]] std::optional<TrafficClass> ParseTrafficClass(
    std::string_view name) noexcept;

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_OUTCOME_H_
