#ifndef FOXQUAY_DAEMON_GATEWAY_SERVE_H_
#define FOXQUAY_DAEMON_GATEWAY_SERVE_H_

#include <string>

#include "foxquay/gateway/protocol.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Serves callers, upstreams and operators in a protocol until SIGTERM, with
/// the parts that the host's roles need; returns the exit status.
///
/// `file` is read again on SIGHUP and when it changes; `settings` are what it
/// held at the start.
///
/// Not thread-safe; called once.
[[nodiscard]] int ServeGateway(const std::string& file,
                               const schema::Settings& settings,
                               const gateway::Protocol& protocol,
                               const gateway::ControlProtocol& control);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_GATEWAY_SERVE_H_
