#ifndef FOXQUAY_DAEMON_GATEWAY_SERVE_H_
#define FOXQUAY_DAEMON_GATEWAY_SERVE_H_

#include <string>

#include "foxquay/gateway/protocol.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Runs a host that speaks an external protocol until SIGTERM or SIGINT;
/// returns the exit status. Starts only the components that the host's roles
/// need.
///
/// The first signal starts a drain, the second one exits at once.
///
/// Not thread-safe; call once.
///
/// @param file Path of the settings file, read again on SIGHUP and when it
/// changes.
/// @param settings Validated settings that were loaded from `file` at startup.
/// @param protocol Reads and writes the messages of callers and upstreams.
/// @param control Reads and writes the messages of the control listeners.
[[nodiscard]] int ServeGateway(const std::string& file,
                               const schema::Settings& settings,
                               const gateway::Protocol& protocol,
                               const gateway::ControlProtocol& control);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_GATEWAY_SERVE_H_
