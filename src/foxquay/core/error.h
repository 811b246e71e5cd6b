#ifndef FOXQUAY_CORE_ERROR_H_
#define FOXQUAY_CORE_ERROR_H_

#include <boost/outcome/std_result.hpp>
#include <system_error>
#include <type_traits>

namespace foxquay::core {

/// Errors shared by all modules.
enum class Error {
  kMalformed = 1,  ///< Input cannot be decoded.
  kTooLarge,       ///< Input exceeds a stated bound.
  kNotFound,       ///< The named object does not exist.
  kConflict,       ///< The expected revision is not the current one.
  kInvalid,        ///< A value violates a rule; findings say which.
  kUnavailable,    ///< Currently no quorum, no lease or no capacity.
  kNotLeader,      ///< Another replica is the leader.
  kCorrupt,        ///< Stored data fails its checksum.
  kTimeout,        ///< A deadline has passed.
  kUnauthorized,   ///< The sender's credentials are missing or wrong.
};

/// Returns the category of Error values. Thread-safe.
[[nodiscard]] const std::error_category& ErrorCategory() noexcept;

/// Converts an Error for std::error_code.
[[nodiscard]] std::error_code make_error_code(Error error) noexcept;

/// Holds a value or an std::error_code.
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::std_result<T>;

}  // namespace foxquay::core

template <>
struct std::is_error_code_enum<foxquay::core::Error> : std::true_type {};

#endif  // FOXQUAY_CORE_ERROR_H_
