#ifndef FOXQUAY_SETTINGS_DIFFERENCE_H_
#define FOXQUAY_SETTINGS_DIFFERENCE_H_

#include <string>
#include <vector>

#include "foxquay/schema/settings.h"
#include "foxquay/settings/fwd.h"

namespace foxquay::settings {

/// A key whose value differs between two settings files.
struct Difference {
  std::string path;         ///< Key path, e.g. `log.level`.
  bool reloadable = false;  ///< Whether it applies without a restart.

  friend bool operator==(const Difference&, const Difference&) = default;
};

using Differences = std::vector<Difference>;

/// Returns the keys that differ, in the order of the schema. Thread-safe.
[[nodiscard]] Differences Compare(const schema::Settings& before,
                                  const schema::Settings& after);

/// Copies the keys that apply without a restart from `read` to `running`.
/// Thread-safe if no other thread uses `running`.
void ApplyReloadable(const schema::Settings& read, schema::Settings& running);

}  // namespace foxquay::settings

#endif  // FOXQUAY_SETTINGS_DIFFERENCE_H_
