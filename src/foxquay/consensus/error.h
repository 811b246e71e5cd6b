#ifndef FOXQUAY_CONSENSUS_ERROR_H_
#define FOXQUAY_CONSENSUS_ERROR_H_

#include <system_error>
#include <type_traits>

namespace foxquay::consensus {

/// Why a proposal was not reported as committed.
enum class Error {
  kNotLeader = 1,  ///< Another replica leads; the proposal was not logged.
  kBusy,           ///< Too many open proposals; it was not logged.
  kTooLarge,       ///< Its payload exceeds the limit; it was not logged.
  kResultUnknown,  ///< Leadership was lost; it may commit or may not.
};

/// Returns the category of Error values. Thread-safe.
[[nodiscard]] const std::error_category& ErrorCategory() noexcept;

/// Converts an Error for std::error_code.
[[nodiscard]] std::error_code make_error_code(Error error) noexcept;

}  // namespace foxquay::consensus

template <>
struct std::is_error_code_enum<foxquay::consensus::Error> : std::true_type {};

#endif  // FOXQUAY_CONSENSUS_ERROR_H_
