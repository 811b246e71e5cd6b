#include "foxquay/consensus/error.h"

#include <string>

namespace foxquay::consensus {
namespace internal {

class Category : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override {
    return "consensus";
  }

  [[nodiscard]] std::string message(int value) const override {
    switch (static_cast<Error>(value)) {
      case Error::kNotLeader:
        return "this replica is not the leader";
      case Error::kBusy:
        return "too many open proposals";
      case Error::kTooLarge:
        return "the proposal is too large";
      case Error::kResultUnknown:
        return "leadership was lost; the result of the proposal is unknown";
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

}  // namespace foxquay::consensus
