#ifndef FOXQUAY_DAEMON_SETTINGS_RELOADER_H_
#define FOXQUAY_DAEMON_SETTINGS_RELOADER_H_

#include <filesystem>
#include <optional>
#include <string>

#include "foxquay/core/time.h"
#include "foxquay/daemon/fwd.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Interval at which a host looks whether its settings file has changed: short
/// beside the minutes in which operators replace hosts, and one system call.
inline constexpr core::Duration kSettingsPollInterval = std::chrono::seconds(2);

/// The settings file of a running host, read again when it changes.
///
/// Not thread-safe.
class SettingsReloader {
 public:
  /// `running` are the settings that the host has started with.
  SettingsReloader(std::string file, schema::Settings running);

  /// Returns whether the file was replaced or written since it was last read.
  [[nodiscard]] bool Changed() const;

  /// Reads the file and logs each key that differs from what is in force, or
  /// the findings. Returns the settings if the file is valid and keys that take
  /// effect in a running host differ.
  [[nodiscard]] std::optional<schema::Settings> Read();

 private:
  using WriteTime = std::optional<std::filesystem::file_time_type>;

  [[nodiscard]] WriteTime LastWriteTime() const;

  std::string file_;
  schema::Settings running_;
  WriteTime loaded_write_time_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SETTINGS_RELOADER_H_
