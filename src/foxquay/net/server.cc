#include "foxquay/net/server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

#include "foxquay/log/log.h"

namespace foxquay::net {
namespace internal {

namespace http = boost::beast::http;

/// Length of the accept queue. If it overflows, callers retransmit their SYN
/// only after seconds.
constexpr int kBacklog = 1024;

/// Delay before accepting again after an error, such as a lack of file
/// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

/// Number of bytes received while a request is being answered from which
/// reading pauses.
constexpr std::size_t kMaxReadAhead = 65536;

unsigned StatusFor(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace internal

Server::Server(boost::asio::io_context& context, ServerHandlers handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      accept_retry_timer_(context) {}

std::error_code Server::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  Tcp::acceptor& acceptor = acceptors_.emplace_back(context_);
  boost::system::error_code error;
  acceptor.open(endpoint.value().protocol(), error);
  if (error) return error;
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (error) return error;
  acceptor.bind(endpoint.value(), error);
  if (error) return error;
  acceptor.listen(internal::kBacklog, error);
  if (error) return error;
  Accept(acceptor, acceptors_.size() - 1);
  return {};
}

std::string Server::address(std::size_t listener) const {
  const Tcp::endpoint local =
      std::next(acceptors_.begin(), static_cast<std::ptrdiff_t>(listener))
          ->local_endpoint();
  return local.address().to_string() + ":" + std::to_string(local.port());
}

void Server::Accept(Tcp::acceptor& acceptor, std::size_t listener) {
  acceptor.async_accept([this, &acceptor, listener](
                            const boost::system::error_code& error,
                            Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      log::Write(log::Level::kWarn, "accept_failed",
                 {{"error", error.message()}});
      accept_retry_timer_.expires_after(internal::kAcceptRetryDelay);
      accept_retry_timer_.async_wait(
          [this, &acceptor, listener](const boost::system::error_code& ended) {
            if (!ended && acceptor.is_open()) Accept(acceptor, listener);
          });
      return;
    }
    SetSocketOptions(socket);
    const SocketId id(next_socket_++);
    Connection& connection =
        connections_.try_emplace(id, std::move(socket), listener).first->second;
    connection.wait_start = SteadyNow();
    HandleReadable(id);
    if (acceptor.is_open()) Accept(acceptor, listener);
  });
}

void Server::WaitRead(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_read,
             &Connection::read_waiting,
             [this](SocketId ready) { HandleReadable(ready); });
}

void Server::WaitWrite(SocketId id) {
  AwaitReady(connections_, id, Tcp::socket::wait_write,
             &Connection::write_waiting,
             [this](SocketId ready) { Flush(ready); });
}

void Server::HandleReadable(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Read(connection.socket, connection.in);
  if (result == IoResult::kClosed || result == IoResult::kFailed) {
    Disconnect(id);
    return;
  }
  if (result == IoResult::kDone && !connection.exchange) {
    Parse(id);
    if (!connections_.contains(id)) return;
  }
  const Connection& conn = connections_.at(id);
  if (conn.in.size() < internal::kMaxReadAhead || !conn.exchange) WaitRead(id);
}

void Server::Parse(SocketId id) {
  Connection& connection = connections_.at(id);
  if (connection.close_when_sent) return;
  if (!connection.parser) {
    connection.parser.emplace();
    connection.parser->eager(true);
    connection.parser->header_limit(limits_.max_header_bytes);
    connection.parser->body_limit(limits_.max_body_bytes);
    connection.wait_start = SteadyNow();
  }
  Parser& parser = *connection.parser;
  while (!connection.in.empty() && !parser.is_done()) {
    boost::beast::error_code error;
    const std::size_t used =
        parser.put(boost::asio::buffer(connection.in), error);
    connection.in.erase(0, used);
    if (error == internal::http::error::need_more) return;
    if (error) {
      Reject(id, internal::StatusFor(error));
      return;
    }
    if (used == 0) return;
  }
  if (!parser.is_done()) return;
  auto message = parser.release();
  connection.keep_alive = message.keep_alive();
  connection.parser.reset();
  const ExchangeId exchange(next_exchange_++);
  connection.exchange = exchange;
  exchanges_[exchange] = id;
  Request request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  request.body = std::move(message.body());
  request.fields = std::move(message.base());
  request.listener = connection.listener;
  handlers_.request(exchange, std::move(request));
}

void Server::Reject(SocketId id, unsigned status) {
  log::Write(log::Level::kInfo, "request_malformed", {{"status", status}});
  Connection& connection = connections_.at(id);
  connection.parser.reset();
  connection.in.clear();
  connection.out += Serialize(
      MakeResponse(status, "text/plain", "malformed request\n"), false);
  connection.close_when_sent = true;
  Flush(id);
}

Server::Connection* Server::Find(ExchangeId exchange, SocketId& id) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return nullptr;
  id = found->second;
  return &connections_.at(id);
}

void Server::Respond(ExchangeId exchange, const Response& response) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  connection->keep_alive = connection->keep_alive && !draining_;
  connection->out += Serialize(response, connection->keep_alive);
  CompleteResponse(id);
}

void Server::Start(ExchangeId exchange, const Response& head) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  connection->keep_alive = connection->keep_alive && !draining_;
  connection->out += SerializeHead(head, connection->keep_alive);
  Flush(id);
}

void Server::Send(ExchangeId exchange, const std::string& data) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr || data.empty()) return;
  connection->out += SerializeChunk(data);
  Flush(id);
}

void Server::End(ExchangeId exchange) {
  SocketId id;
  Connection* connection = Find(exchange, id);
  if (connection == nullptr) return;
  connection->out += "0\r\n\r\n";
  CompleteResponse(id);
}

void Server::Abort(ExchangeId exchange) {
  SocketId id;
  if (Find(exchange, id) != nullptr) Close(id);
}

void Server::CompleteResponse(SocketId id) {
  Connection& connection = connections_.at(id);
  exchanges_.erase(*connection.exchange);
  connection.exchange.reset();
  connection.wait_start = SteadyNow();
  if (!connection.keep_alive) connection.close_when_sent = true;
  Flush(id);
  if (!connections_.contains(id)) return;
  if (!connections_.at(id).in.empty()) {
    // The caller has pipelined its next request. Parsing it from the event loop
    // keeps many pipelined requests from growing the stack.
    boost::asio::post(context_, [this, id] {
      const auto found = connections_.find(id);
      if (found == connections_.end() || found->second.exchange) return;
      Parse(id);
      if (connections_.contains(id)) WaitRead(id);
    });
  } else {
    WaitRead(id);
  }
}

void Server::Flush(SocketId id) {
  Connection& connection = connections_.at(id);
  const IoResult result = Write(connection.socket, connection.out);
  if (result == IoResult::kFailed || connection.out.size() > kMaxUnsentBytes) {
    Disconnect(id);
    return;
  }
  if (result == IoResult::kWouldBlock) {
    WaitWrite(id);
  } else if (connection.close_when_sent) {
    Close(id);
  }
}

void Server::Disconnect(SocketId id) {
  const std::optional<ExchangeId> exchange = connections_.at(id).exchange;
  Close(id);
  if (exchange) handlers_.disconnected(*exchange);
}

void Server::Close(SocketId id) {
  const auto found = connections_.find(id);
  if (found->second.exchange) exchanges_.erase(*found->second.exchange);
  boost::system::error_code ignored;
  found->second.socket.close(ignored);
  connections_.erase(found);
}

void Server::StopAccepting() {
  boost::system::error_code ignored;
  for (Tcp::acceptor& acceptor : acceptors_) acceptor.close(ignored);
  std::vector<SocketId> idle;
  for (const auto& [id, connection] : connections_) {
    const bool idle_connection = !connection.exchange && !connection.parser &&
                                 connection.in.empty() &&
                                 connection.out.empty();
    if (idle_connection) idle.push_back(id);
  }
  for (const SocketId id : idle) Close(id);
}

void Server::Sweep(core::Instant now) {
  std::vector<SocketId> expired;
  for (const auto& [id, connection] : connections_) {
    if (connection.exchange) continue;
    const core::Duration limit =
        connection.parser ? limits_.header_timeout : limits_.idle_timeout;
    if (now - connection.wait_start > limit) expired.push_back(id);
  }
  for (const SocketId id : expired) Close(id);
}

std::size_t Server::open_requests() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(), [](const auto& item) {
        const Connection& connection = item.second;
        return connection.exchange || connection.parser ||
               !connection.out.empty();
      }));
}

}  // namespace foxquay::net
