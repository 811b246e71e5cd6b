#include "foxquay/core/error.h"

#include <string>

namespace foxquay::core {
namespace internal {

class Category : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override { return "foxquay"; }

  [[nodiscard]] std::string message(int value) const override {
    switch (static_cast<Error>(value)) {
      case Error::kMalformed:
        return "malformed input";
      case Error::kTooLarge:
        return "input exceeds its size limit";
      case Error::kNotFound:
        return "not found";
      case Error::kConflict:
        return "revision conflict";
      case Error::kInvalid:
        return "invalid value";
      case Error::kUnavailable:
        return "unavailable";
      case Error::kNotLeader:
        return "not the leader";
      case Error::kCorrupt:
        return "stored data is corrupt";
      case Error::kTimeout:
        return "timed out";
      case Error::kUnauthorized:
        return "unauthorized";
    }
    return "unknown error";
  }
};

}  // namespace internal

const std::error_category& ErrorCategory() noexcept {
  static const internal::Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Error error) noexcept {
  return {static_cast<int>(error), ErrorCategory()};
}

}  // namespace foxquay::core
