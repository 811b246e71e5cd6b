#ifndef FOXQUAY_DAEMON_CONTROL_SERVER_H_
#define FOXQUAY_DAEMON_CONTROL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <system_error>

#include "foxquay/daemon/control_node.h"
#include "foxquay/gateway/protocol.h"
#include "foxquay/net/server.h"

namespace foxquay::daemon {

/// HTTP server for operators, upstreams and callers that look up the addresses
/// of entry hosts; a protocol defines the format of requests and responses.
///
/// Not thread-safe: runs on the thread of the io_context.
class ControlServer {
 public:
  /// `max_body_bytes` limits the body of a request.
  ///
  /// Precondition: `node` outlives the server.
  ControlServer(boost::asio::io_context& context, ControlNode& node,
                const gateway::ControlProtocol& protocol,
                std::uint32_t max_body_bytes);

  /// Counts what the connections use in a budget. Preconditions: `budget`
  /// outlives the server, and Listen was not called.
  void SetBufferBudget(net::BufferBudget& budget) { server_.SetBudget(budget); }
  /// Binds the listener to `address`, `IP:PORT`.
  [[nodiscard]] std::error_code Listen(const std::string& address);
  void Sweep(core::Instant now) { server_.Sweep(now); }

 private:
  void HandleRequest(net::ExchangeId exchange, const net::Request& request);
  void Handle(net::ExchangeId exchange, const gateway::Announce& call);
  void Handle(net::ExchangeId exchange, const gateway::Withdraw& call);
  void Handle(net::ExchangeId exchange, const gateway::ReplaceFleet& call);
  void Handle(net::ExchangeId exchange, const gateway::ReadFleet& call);
  void Handle(net::ExchangeId exchange, const gateway::FindEntries& call);
  void Handle(net::ExchangeId exchange, const gateway::InvalidCall& call);
  void RespondLater(net::ExchangeId exchange, net::Response response);

  boost::asio::io_context& context_;
  ControlNode& node_;
  gateway::ControlProtocol protocol_;
  net::Server server_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_SERVER_H_
