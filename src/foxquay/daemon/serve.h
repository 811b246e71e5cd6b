#ifndef FOXQUAY_DAEMON_SERVE_H_
#define FOXQUAY_DAEMON_SERVE_H_

#include <string>

#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Exit status for unusable settings (EX_CONFIG of sysexits.h).
inline constexpr int kExitConfig = 78;

/// Runs the host until a signal ends the process; returns the exit status.
///
/// The first SIGTERM or SIGINT starts a drain. The second one exits at once and
/// logs the requests that were interrupted.
///
/// Not thread-safe: blocks signals for the process, so call it once and before
/// any other thread is started.
///
/// @param file Path of the settings file, read again on SIGHUP.
/// @param settings Validated settings that were loaded from `file` at startup.
[[nodiscard]] int Serve(const std::string& file,
                        const schema::Settings& settings);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SERVE_H_
