#ifndef FOXQUAY_CORE_OUTCOME_H_
#define FOXQUAY_CORE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "foxquay/core/fwd.h"

namespace foxquay::core {

/// How a request ended, as reported to its caller.
enum class Outcome : std::uint8_t {
  kComplete,  ///< The complete response was delivered.
  kNotRun,    ///< No part of the request was dispatched.
  kUnknown,   ///< Dispatched, must not be repeated, response lost.
  kFailed,    ///< Dispatched, not completed; the caller may retry.
};

/// Traffic class of a request within its workspace.
enum class TrafficClass : std::uint8_t {
  kInteractive,  ///< A user waits for the response.
  kBatch,        ///< No user waits.
};

/// Returns the name used in headers, logs and metrics.
[[nodiscard]] std::string_view Name(Outcome outcome) noexcept;
[[nodiscard]] std::string_view Name(TrafficClass traffic_class) noexcept;

/// Returns the class with this name, or nothing.
[[nodiscard]] std::optional<TrafficClass> ParseTrafficClass(
    std::string_view name) noexcept;

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_OUTCOME_H_
