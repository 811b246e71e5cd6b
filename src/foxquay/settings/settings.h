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

/// Variable of the environment that holds join.catch_up, a number of seconds. A
/// settings file with that key cannot be read by builds that do not know it.
inline constexpr const char* kCatchUpVariable = "FOXQUAY_CATCH_UP";

/// Replaces settings by what the environment holds; adds a finding for each
/// variable that cannot be read. Not thread-safe with changes of the
/// environment.
void ReadEnvironment(Loaded& loaded);

/// Loads and validates a settings file and the environment (ReadEnvironment).
/// Thread-safe.
///
/// A file that cannot be opened or is not valid YAML yields one finding.
[[nodiscard]] Loaded Load(const std::string& file);

/// Parses and validates settings; `file` is the name used in findings.
/// Thread-safe.
[[nodiscard]] Loaded Parse(const std::string& text, const std::string& file);

}  // namespace foxquay::settings

#endif  // FOXQUAY_SETTINGS_SETTINGS_H_
