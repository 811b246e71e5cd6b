#ifndef FOXQUAY_DAEMON_SERVE_H_
#define FOXQUAY_DAEMON_SERVE_H_

#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Exit status for unusable settings (EX_CONFIG of sysexits.h).
inline constexpr int kExitConfig = 78;

/// Serves until a signal ends the process; returns its exit status.
///
/// SIGTERM or SIGINT drains; a second one exits at once and logs the requests
/// that it cut off. Call before any other thread is started.
[[nodiscard]] int Serve(const schema::Settings& settings);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_SERVE_H_
