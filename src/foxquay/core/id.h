#ifndef FOXQUAY_CORE_ID_H_
#define FOXQUAY_CORE_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include "foxquay/core/fwd.h"

namespace foxquay::core {

/// Identifier that is a string; the tag makes each kind of id a distinct type.
template <class Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  /// Returns the string.
  [[nodiscard]] const std::string& value() const noexcept { return value_; }
  /// Returns whether the id is unset.
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const StringId&, const StringId&) = default;
  friend std::strong_ordering operator<=>(const StringId&,
                                          const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StringId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/// Identifier that is a number; the tag makes each kind of id a distinct type.
template <class Tag>
class NumericId {
 public:
  constexpr NumericId() = default;
  explicit constexpr NumericId(std::uint64_t value) : value_(value) {}

  /// Returns the number.
  [[nodiscard]] constexpr std::uint64_t value() const noexcept {
    return value_;
  }

  friend constexpr bool operator==(NumericId, NumericId) = default;
  friend constexpr std::strong_ordering operator<=>(NumericId,
                                                    NumericId) = default;
  friend std::ostream& operator<<(std::ostream& out, NumericId id) {
    return out << id.value_;
  }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace foxquay::core

template <class Tag>
struct std::hash<foxquay::core::StringId<Tag>> {
  std::size_t operator()(
      const foxquay::core::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <class Tag>
struct std::hash<foxquay::core::NumericId<Tag>> {
  std::size_t operator()(foxquay::core::NumericId<Tag> id) const noexcept {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // FOXQUAY_CORE_ID_H_
