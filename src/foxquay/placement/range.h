#ifndef FOXQUAY_PLACEMENT_RANGE_H_
#define FOXQUAY_PLACEMENT_RANGE_H_

#include <cstdint>

namespace foxquay::placement {

/// Half-open range of model layers [first, end).
struct Range {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  [[nodiscard]] std::uint32_t size() const noexcept { return end - first; }
  [[nodiscard]] bool empty() const noexcept { return end <= first; }
  friend bool operator==(const Range&, const Range&) = default;
};

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_RANGE_H_
