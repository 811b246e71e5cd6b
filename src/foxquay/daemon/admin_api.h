#ifndef FOXQUAY_DAEMON_ADMIN_API_H_
#define FOXQUAY_DAEMON_ADMIN_API_H_

#include <functional>
#include <string>
#include <vector>

#include "foxquay/daemon/control_node.h"
#include "foxquay/http/server.h"
#include "foxquay/metrics/registry.h"

namespace foxquay::daemon {

/// Serves the routes of the admin listener. Thread-safe.
///
/// /healthz, /readyz and /metrics need no authentication; everything under
/// /admin needs the operator token as a bearer token.
class AdminApi {
 public:
  /// @param token The operator token.
  /// @param drain Starts a drain of this host; must not block.
  AdminApi(ControlNode& control, metrics::Registry& metrics, std::string token,
           std::function<void()> drain);

  [[nodiscard]] std::vector<http::Route> Routes();

 private:
  using Handler = http::Outgoing (AdminApi::*)(const http::Incoming&);

  http::Route Authenticated(std::string method, std::string pattern,
                            Handler handler);
  http::Outgoing Metrics(const http::Incoming& incoming);
  http::Outgoing Ready();
  http::Outgoing Status(const http::Incoming& incoming);
  http::Outgoing HostList(const http::Incoming& incoming);
  http::Outgoing Upstreams(const http::Incoming& incoming);
  http::Outgoing Defaults(const http::Incoming& incoming);
  http::Outgoing Exceptions(const http::Incoming& incoming);
  http::Outgoing History(const http::Incoming& incoming);
  http::Outgoing SetDefault(const http::Incoming& incoming);
  http::Outgoing AddException(const http::Incoming& incoming);
  http::Outgoing RemoveException(const http::Incoming& incoming);
  http::Outgoing Rollback(const http::Incoming& incoming);
  http::Outgoing Drain(const http::Incoming& incoming);
  http::Outgoing Change(const http::Incoming& incoming,
                        const schema::ControlCommand& command);

  ControlNode& control_;
  metrics::Registry& metrics_;
  std::string token_;
  std::function<void()> drain_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_ADMIN_API_H_
