#ifndef FOXQUAY_SETTINGS_SETTINGS_H_
#define FOXQUAY_SETTINGS_SETTINGS_H_

#include <string>

#include "foxquay/core/finding.h"
#include "foxquay/schema/settings.h"
#include "foxquay/settings/fwd.h"

namespace foxquay::settings {

/// Result of loading a settings file.
struct Loaded {
  schema::Settings settings;  ///< Valid only if there are no findings.
  core::Findings findings;    ///< All errors in the file, ordered by line.
};

/// Loads and validates a settings file. Thread-safe.
///
/// A file that cannot be opened or is not valid YAML yields one finding.
[[nodiscard]] Loaded Load(const std::string& file);

/// Parses and validates settings; `file` is the name used in findings.
/// Thread-safe.
[[nodiscard]] Loaded Parse(const std::string& text, const std::string& file);

}  // namespace foxquay::settings

#endif  // FOXQUAY_SETTINGS_SETTINGS_H_
