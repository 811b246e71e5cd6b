#ifndef FOXQUAY_DAEMON_SERVE_H_
#define FOXQUAY_DAEMON_SERVE_H_

#include <string>

#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Exit status for unusable settings (EX_CONFIG of sysexits.h).
inline constexpr int kExitConfig = 78;

/// Serves until a signal ends the process; returns its exit status.
///
/// SIGTERM or SIGINT drains; a second one exits at once and logs the requests
/// that it cut off. `file` is read again on SIGHUP; `settings` are what it held
/// at the start. Call before any other thread is started.
[[nodiscard]] int Serve(const std::string& file,
                        const schema::Settings& settings);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SERVE_H_
