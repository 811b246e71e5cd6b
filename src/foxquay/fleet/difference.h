#ifndef FOXQUAY_FLEET_DIFFERENCE_H_
#define FOXQUAY_FLEET_DIFFERENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/schema/fleet.h"

namespace foxquay::fleet {

/// How an object of the configuration differs from its former version.
enum class DifferenceKind : std::uint8_t { kAdded, kRemoved, kChanged };

/// Former and new value of one field; empty where there is none.
struct FieldDifference {
  std::string field;  ///< Key path in the object.
  std::string before;
  std::string after;

  friend bool operator==(const FieldDifference&,
                         const FieldDifference&) = default;
};

/// One object that was added, removed or changed.
struct Difference {
  DifferenceKind kind = DifferenceKind::kChanged;
  std::string list;  ///< Key path of its list, or of the object itself.
  /// Host and path prefix of a route, id of a service or a workspace; empty for
  /// an object that is not part of a list.
  std::string name;
  std::vector<FieldDifference> fields;  ///< All that differ.

  friend bool operator==(const Difference&, const Difference&) = default;
};

/// Returns what differs between two fleet configurations, besides the version.
///
/// API keys are shown by their first characters only. The configurations need
/// not be valid. Thread-safe.
[[nodiscard]] std::vector<Difference> Compare(const schema::Fleet& before,
                                              const schema::Fleet& after);

}  // namespace foxquay::fleet

#endif  // FOXQUAY_FLEET_DIFFERENCE_H_
