#ifndef FOXQUAY_NET_CLIENT_H_
#define FOXQUAY_NET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/net/fwd.h"
#include "foxquay/net/message.h"
#include "foxquay/net/socket.h"

namespace foxquay::net {

/// How a call ended without a complete answer.
enum class Failure : std::uint8_t {
  kNotSent,    ///< No connection: nothing of the request has left this host.
  kLost,       ///< The connection ended before the head of an answer.
  kMalformed,  ///< The answer is none in the protocol.
  kCut,        ///< The answer ended early.
};

/// Returns the failure's name for logs.
[[nodiscard]] const char* Name(Failure failure) noexcept;

/// What a Client tells its owner. After `end` or `failed` the call is over.
struct ClientHandlers {
  std::function<void(CallId, unsigned status, Fields&& fields)> head;
  std::function<void(CallId, std::string&& data)> data;
  std::function<void(CallId)> end;
  std::function<void(CallId, Failure)> failed;
};

/// How a call uses connections.
struct CallOptions {
  /// Whether a kept connection may be used; one that its peer closes at that
  /// moment leaves open whether the request has run.
  bool reuse = true;
  /// Field of the request that answers repeat; an answer with another value
  /// belongs to an earlier request and is dropped. Empty for none.
  std::string echo_field;
  std::string echo_value;
};

/// An event-driven HTTP/1.1 client without a thread of its own; one request at
/// a time on a connection, idle connections are kept by address.
///
/// Not thread-safe: calls and handlers run on the thread of the io_context, and
/// no handler is called from within Call.
class Client {
 public:
  Client(boost::asio::io_context& context, ClientHandlers handlers);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a serialized request.
  [[nodiscard]] CallId Call(const std::string& address, std::string request,
                            const CallOptions& options);

  /// Ends a call without a handler and closes its connection.
  void Cancel(CallId call);

  /// Ends attempts to connect and idle connections whose time is over.
  void Sweep(core::Instant now);

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}
    Tcp::socket socket;
    std::string address;
    std::optional<CallId> call;
    CallOptions options;
    std::string in;
    std::string out;
    std::optional<Parser> parser;
    bool connected = false;
    bool head_reported = false;  ///< The head was passed on.
    bool discarding = false;     ///< The answer belongs to another request.
    bool read_waiting = false;
    bool write_waiting = false;
    core::Instant deadline;  ///< Of connecting, or of the idle time.
    core::Duration idle_timeout{};
  };

  void Connect(SocketId id);
  void HandleConnected(SocketId id, const boost::system::error_code& error);
  void WaitRead(SocketId id);
  void WaitWrite(SocketId id);
  void HandleReadable(SocketId id);
  void Flush(SocketId id);
  /// Returns whether the connection still exists.
  bool Parse(SocketId id);
  bool HandleHead(SocketId id);
  bool HandleComplete(SocketId id);
  void HandleDisconnect(SocketId id, IoResult result);
  void Fail(SocketId id, Failure failure);
  void KeepIdle(SocketId id);
  void Close(SocketId id);

  boost::asio::io_context& context_;
  ClientHandlers handlers_;
  std::unordered_map<SocketId, Connection> connections_;
  std::unordered_map<CallId, SocketId> calls_;
  std::unordered_map<std::string, std::vector<SocketId>> idle_;
  std::uint64_t next_socket_ = 1;
  std::uint64_t next_call_ = 1;
};

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_CLIENT_H_
