#ifndef FOXQUAY_NET_SERVER_H_
#define FOXQUAY_NET_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>

#include "foxquay/core/time.h"
#include "foxquay/net/fwd.h"
#include "foxquay/net/message.h"
#include "foxquay/net/socket.h"

namespace foxquay::net {

/// What callers may send and how long they may take.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 1U << 20U;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// What a Server tells its owner.
struct ServerHandlers {
  /// A whole request has arrived; it is answered by one of the Server's calls.
  std::function<void(ExchangeId, Request&&)> request;
  /// The caller left before the answer was complete; the exchange has ended.
  std::function<void(ExchangeId)> disconnected;
};

/// An event-driven HTTP/1.1 server without a thread of its own.
///
/// Not thread-safe: calls and handlers run on the thread of the io_context.
/// A call for an exchange that has ended does nothing.
class Server {
 public:
  Server(boost::asio::io_context& context, ServerHandlers handlers);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds `IP:PORT` and starts to accept; may be called for several.
  [[nodiscard]] std::error_code Listen(const std::string& address);

  /// Returns `IP:PORT` of the first listener, e.g. after one with port 0.
  ///
  /// Precondition: Listen succeeded.
  [[nodiscard]] std::string address() const;

  void SetLimits(const ServerLimits& limits) { limits_ = limits; }

  /// Sends a whole answer.
  void Respond(ExchangeId exchange, const Response& response);
  /// Sends the head of an answer whose length is not known yet.
  void Start(ExchangeId exchange, const Response& head);
  /// Sends a part of a started answer.
  void Send(ExchangeId exchange, const std::string& data);
  /// Completes a started answer.
  void End(ExchangeId exchange);
  /// Closes the connection, so that the answer is seen to be incomplete.
  void Abort(ExchangeId exchange);

  /// Answers from now on ask their callers to close the connection.
  void StartDrain() { draining_ = true; }
  /// Stops to accept and closes connections without a request.
  void StopAccepting();
  /// Closes expired connections. Called at least each second.
  void Sweep(core::Instant now);

  /// Returns the number of requests being read or answered.
  [[nodiscard]] std::size_t open_requests() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::string in;
    std::string out;
    std::optional<Parser> parser;
    std::optional<ExchangeId> exchange;
    core::Instant wait_start;  ///< Start of the idle time or of the head.
    bool keep_alive = true;
    bool read_waiting = false;
    bool write_waiting = false;
    bool close_when_sent = false;
  };

  void Accept(Tcp::acceptor& acceptor);
  void WaitRead(SocketId id);
  void WaitWrite(SocketId id);
  void HandleReadable(SocketId id);
  void Parse(SocketId id);
  void Reject(SocketId id, unsigned status);
  void Flush(SocketId id);
  void CompleteResponse(SocketId id);
  void Close(SocketId id);
  void Disconnect(SocketId id);
  [[nodiscard]] Connection* Find(ExchangeId exchange, SocketId& id);

  boost::asio::io_context& context_;
  ServerHandlers handlers_;
  ServerLimits limits_;
  std::list<Tcp::acceptor> acceptors_;
  boost::asio::steady_timer accept_retry_timer_;
  std::unordered_map<SocketId, Connection> connections_;
  std::unordered_map<ExchangeId, SocketId> exchanges_;
  std::uint64_t next_socket_ = 1;
  std::uint64_t next_exchange_ = 1;
  bool draining_ = false;
};

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_SERVER_H_
