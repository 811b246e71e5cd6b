#ifndef FOXQUAY_DAEMON_SETTINGS_RELOADER_H_
#define FOXQUAY_DAEMON_SETTINGS_RELOADER_H_

#include <filesystem>
#include <optional>
#include <string>

#include "foxquay/core/time.h"
#include "foxquay/daemon/fwd.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Interval at which a host checks whether its settings file has changed. It is
/// short compared with the minutes in which operators replace hosts, and a
/// check costs one system call.
inline constexpr core::Duration kSettingsPollInterval = std::chrono::seconds(2);

/// Reloads the settings file of a running host.
///
/// Not thread-safe.
class SettingsReloader {
 public:
  /// @param file Path of the settings file.
  /// @param running Settings with which the host has started.
  SettingsReloader(std::string file, schema::Settings running);

  /// Returns whether the write time of the file differs from that at the last
  /// read; false if the file is missing.
  [[nodiscard]] bool Changed() const;

  /// Reads the file and logs each key that differs from the running settings.
  /// If the file is invalid, logs the findings instead and changes nothing.
  ///
  /// @return The running settings with the new values of the keys that take
  /// effect without a restart; nothing if no such key differs.
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
