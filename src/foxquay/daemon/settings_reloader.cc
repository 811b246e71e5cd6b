#include "foxquay/daemon/settings_reloader.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "foxquay/core/finding.h"
#include "foxquay/log/log.h"
#include "foxquay/settings/difference.h"
#include "foxquay/settings/settings.h"

namespace foxquay::daemon {

SettingsReloader::SettingsReloader(std::string file, schema::Settings running)
    : file_(std::move(file)),
      running_(std::move(running)),
      loaded_write_time_(LastWriteTime()) {}

SettingsReloader::WriteTime SettingsReloader::LastWriteTime() const {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(file_, error);
  return error ? WriteTime() : time;
}

bool SettingsReloader::Changed() const {
  // A file that is being replaced may be missing briefly.
  const WriteTime written = LastWriteTime();
  return written && written != loaded_write_time_;
}

std::optional<schema::Settings> SettingsReloader::Read() {
  loaded_write_time_ = LastWriteTime();
  settings::Loaded loaded = settings::Load(file_);
  for (const core::Finding& finding : loaded.findings) {
    log::Write(log::Level::kError, "reload_refused",
               {{"finding", core::Format(finding)}});
  }
  if (!loaded.findings.empty()) return std::nullopt;
  const settings::Differences differences =
      settings::Compare(running_, loaded.settings);
  for (const settings::Difference& difference : differences) {
    log::Write(
        log::Level::kInfo, "setting_changed",
        {{"key", difference.path},
         {"takes_effect", difference.reloadable ? "now" : "on-restart"}});
  }
  log::Write(log::Level::kInfo, "settings_read",
             {{"file", file_}, {"changed", differences.size()}});
  const bool reloadable =
      std::any_of(differences.begin(), differences.end(),
                  [](const settings::Difference& difference) {
                    return difference.reloadable;
                  });
  if (!reloadable) return std::nullopt;
  settings::ApplyReloadable(loaded.settings, running_);
  return running_;
}

}  // namespace foxquay::daemon
