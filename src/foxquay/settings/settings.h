#ifndef FOXQUAY_SETTINGS_SETTINGS_H_
#define FOXQUAY_SETTINGS_SETTINGS_H_

#include <string>

#include "foxquay/core/finding.h"
#include "foxquay/schema/settings.h"
#include "foxquay/settings/fwd.h"

namespace foxquay::settings {

/// Result of reading a settings file.
struct Loaded {
  schema::Settings settings;  ///< Usable only if there are no findings.
  core::Findings findings;    ///< All faults of the file.
};

/// Reads and checks a settings file. Thread-safe.
///
/// A file that cannot be read or parsed yields one finding with its place.
[[nodiscard]] Loaded Load(const std::string& file);

/// Reads and checks settings from text; `file` is used in findings only.
/// Thread-safe.
[[nodiscard]] Loaded Parse(const std::string& text, const std::string& file);

}  // namespace foxquay::settings

#endif  // FOXQUAY_SETTINGS_SETTINGS_H_
