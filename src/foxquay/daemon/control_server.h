#ifndef FOXQUAY_DAEMON_CONTROL_SERVER_H_
#define FOXQUAY_DAEMON_CONTROL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <system_error>

#include "foxquay/daemon/control_node.h"
#include "foxquay/gateway/protocol.h"
#include "foxquay/net/server.h"

namespace foxquay::daemon {

/// Serves operators, upstreams and callers without an address in a protocol.
///
/// Not thread-safe: runs on the thread of the io_context.
class ControlServer {
 public:
  /// `node` outlives the server.
  ControlServer(boost::asio::io_context& context, ControlNode& node,
                const gateway::ControlProtocol& protocol,
                std::uint32_t max_body_bytes);

  [[nodiscard]] std::error_code Listen(const std::string& address);
  void Sweep(core::Instant now) { server_.Sweep(now); }

 private:
  void HandleRequest(net::ExchangeId exchange, const net::Request& request);
  void Do(net::ExchangeId exchange, const gateway::Announce& call);
  void Do(net::ExchangeId exchange, const gateway::Withdraw& call);
  void Do(net::ExchangeId exchange, const gateway::ReplaceFleet& call);
  void Do(net::ExchangeId exchange, const gateway::ReadFleet& call);
  void Do(net::ExchangeId exchange, const gateway::FindEntries& call);
  void Do(net::ExchangeId exchange, const gateway::InvalidCall& call);
  void RespondLater(net::ExchangeId exchange, net::Response response);

  boost::asio::io_context& context_;
  ControlNode& node_;
  gateway::ControlProtocol protocol_;
  net::Server server_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_SERVER_H_
