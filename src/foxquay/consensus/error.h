#ifndef FOXQUAY_CONSENSUS_ERROR_H_
#define FOXQUAY_CONSENSUS_ERROR_H_

#include <system_error>
#include <type_traits>

namespace foxquay::consensus {

/// Reason why a proposal was not reported as committed.
enum class Error {
  kNotLeader = 1,  ///< This replica is not the leader; nothing was appended.
  kBusy,           ///< Too many open proposals; nothing was appended.
  kTooLarge,       ///< The payload exceeds the limit; nothing was appended.
  kResultUnknown,  ///< Leadership was lost; the proposal may still commit.
};

/// Returns the error category of Error. Thread-safe.
[[nodiscard]] const std::error_category& ErrorCategory() noexcept;

/// Makes Error convertible to std::error_code.
[[nodiscard]] std::error_code make_error_code(Error error) noexcept;

}  // namespace foxquay::consensus

template <>
struct std::is_error_code_enum<foxquay::consensus::Error> : std::true_type {};

#endif  // FOXQUAY_CONSENSUS_ERROR_H_
