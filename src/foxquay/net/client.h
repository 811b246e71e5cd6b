#ifndef FOXQUAY_NET_CLIENT_H_
#define FOXQUAY_NET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>
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
#include "foxquay/net/part_body.h"
#include "foxquay/net/socket.h"

namespace foxquay::net {

/// Why a call ended without a complete response.
enum class Failure : std::uint8_t {
  kNotSent,    ///< The connection was refused: nothing was sent.
  kTimedOut,   ///< No connection in time: nothing was sent.
  kLost,       ///< The connection closed before a response head.
  kMalformed,  ///< The response is not valid HTTP.
  kCut,        ///< The response ended before it was complete.
};

/// Returns the name of a failure as used in logs. Thread-safe.
[[nodiscard]] const char* Name(Failure failure) noexcept;

/// Callbacks of a Client. `end` or `failed` is the last one of a call.
struct ClientHandlers {
  std::function<void(CallId, unsigned status, Fields&& fields)> head;
  std::function<void(CallId, std::string&& data)> data;
  std::function<void(CallId)> end;
  std::function<void(CallId, Failure)> failed;
};

/// Options of a call.
struct CallOptions {
  /// Whether an idle connection may be reused. If the peer closes it at the
  /// same time, it is unknown whether the request has run.
  bool reuse = true;
  /// Field that responses echo; empty for none. A response with a value other
  /// than `echo_value` belongs to an earlier request and is discarded.
  std::string echo_field;
  std::string echo_value;
  /// Whether the response ends with its head, whatever length it states, as
  /// that to HEAD does (RFC 9112, 6.3).
  bool head_only = false;
  /// Whether the connection may be reused afterwards. Without an echo, a
  /// response that is written once more would be taken for that of a later
  /// call.
  bool keep = true;
};

/// An event-driven HTTP/1.1 client without a thread of its own. A connection
/// carries one request at a time; idle connections are pooled by address.
///
/// A faulty peer may write a response once more. What arrives on a connection
/// before the request is written to it, or without the echo on a connection
/// that has served other calls, is not taken for the response; and a connection
/// on which a call was refused is not reused for one with the same echo.
///
/// Not thread-safe: calls and handlers run on the thread of the io_context.
/// Call does not invoke handlers.
class Client {
 public:
  Client(boost::asio::io_context& context, ClientHandlers handlers);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a serialized request to `address`, an `IP:PORT`; another form is
  /// reported as Failure::kNotSent.
  [[nodiscard]] CallId Call(const std::string& address, std::string request,
                            const CallOptions& options);

  /// Ends a call without invoking a handler and closes its connection; does
  /// nothing if the call has ended.
  void Cancel(CallId call);

  /// Fails connection attempts that have timed out and closes expired idle
  /// connections. `now` is a time of SteadyNow.
  void Sweep(core::Instant now);

 private:
  using Parser = boost::beast::http::response_parser<PartBody>;

  struct Connection {
    explicit Connection(boost::asio::io_context& context) : socket(context) {}
    Tcp::socket socket;
    std::string address;
    std::optional<CallId> call;
    CallOptions options;
    /// Echo values of calls that were answered with another status than 2xx.
    std::vector<std::string> refused;
    bool reused = false;   ///< It has served an earlier call.
    bool started = false;  ///< Parts of the current request may be written.
    std::string in;
    std::string out;
    std::optional<Parser> parser;
    std::size_t head_bytes = 0;  ///< Parsed bytes of an incomplete head.
    bool connected = false;
    bool head_reported = false;  ///< The head was passed to the handler.
    /// The response is an interim one or belongs to another request.
    bool discarding = false;
    unsigned discarded = 0;  ///< Such responses to the current call.
    bool read_waiting = false;
    bool write_waiting = false;
    core::Instant
        deadline;  ///< End of the attempt to connect or of the idle time.
    core::Duration idle_timeout{};
  };

  /// Takes an idle connection for a call, if there is one.
  [[nodiscard]] std::optional<SocketId> TakeIdle(const std::string& address,
                                                 const CallOptions& options);
  void Connect(SocketId id);
  /// Writes the request to a connection that was idle.
  void FlushReused(SocketId id);
  /// Moves a call of which nothing was written to a new connection.
  void Reconnect(SocketId id);
  void HandleConnected(SocketId id, const boost::system::error_code& error);
  void WaitRead(SocketId id);
  void WaitWrite(SocketId id);
  void HandleReadable(SocketId id);
  void Flush(SocketId id);
  /// Returns false if the connection was closed or its call has ended.
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
