#ifndef FOXQUAY_NET_SERVER_H_
#define FOXQUAY_NET_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>

#include "foxquay/core/time.h"
#include "foxquay/net/buffer_budget.h"
#include "foxquay/net/fwd.h"
#include "foxquay/net/message.h"
#include "foxquay/net/part_body.h"
#include "foxquay/net/socket.h"

namespace foxquay::net {

/// Maximum number of unsent bytes of a connection; a caller that reads too
/// slowly is disconnected beyond it. No larger response can be sent at once.
inline constexpr std::size_t kMaxUnsentBytes = std::size_t{4} << 20U;

/// Size limits and timeouts for callers.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 1U << 20U;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Callbacks of a Server.
struct ServerHandlers {
  /// A complete request was received; it must be answered with Respond, Start
  /// and End, or Abort.
  std::function<void(ExchangeId, Request&&)> request;
  /// The caller disconnected, or was disconnected for too much unsent data,
  /// before the response was complete. The exchange has ended.
  std::function<void(ExchangeId)> disconnected;
  /// Completes the refusal of a request for which there is no memory, whose
  /// fields are given; may be empty.
  std::function<void(const Fields&, Response&)> refused = {};
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

  /// Binds `IP:PORT` and starts to accept connections; may be called several
  /// times. Returns Error::kInvalid for another form, or the system's error.
  [[nodiscard]] std::error_code Listen(const std::string& address);

  /// Returns `IP:PORT` of a listener, by calls of Listen, with the actual port
  /// if it was bound to port 0.
  ///
  /// Precondition: that call of Listen succeeded.
  [[nodiscard]] std::string address(std::size_t listener = 0) const;

  /// Counts what the connections use in a budget, which may close them; without
  /// one they are bounded one by one only. Preconditions: `budget` outlives the
  /// server, and Listen was not called.
  void SetBudget(BufferBudget& budget);

  /// Sets the limits: sizes for requests that begin later, timeouts at once.
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }

  /// Sends a complete response.
  void Respond(ExchangeId exchange, const Response& response);
  /// Sends the head of a response whose body is streamed.
  void Start(ExchangeId exchange, const Response& head);
  /// Sends a part of the body of a started response.
  void Send(ExchangeId exchange, const std::string& data);
  /// Completes a started response.
  void End(ExchangeId exchange);
  /// Closes the connection, so that the caller detects an incomplete response.
  void Abort(ExchangeId exchange);

  /// Sends `Connection: close` with each response from now on.
  void StartDrain() { draining_ = true; }
  /// Stops accepting connections and closes the idle ones.
  void StopAccepting();
  /// Closes connections that exceed the header or idle timeout. Must be called
  /// at least once per second. `now` is a time of SteadyNow.
  void Sweep(core::Instant now);

  /// Returns the number of connections on which a request is being received or
  /// answered.
  [[nodiscard]] std::size_t open_requests() const;

 private:
  using Parser = boost::beast::http::request_parser<PartBody>;

  struct Listener {
    explicit Listener(boost::asio::io_context& context)
        : acceptor(context), retry_timer(context) {}
    Tcp::acceptor acceptor;
    boost::asio::steady_timer retry_timer;
  };

  struct Connection {
    Connection(Tcp::socket accepted, std::size_t index)
        : socket(std::move(accepted)), listener(index) {}
    Tcp::socket socket;
    std::size_t listener;
    std::string in;
    std::string out;
    std::optional<Parser> parser;
    std::size_t head_bytes = 0;  ///< Size of the request's head so far.
    std::size_t head_lines = 0;  ///< Lines of it.
    std::optional<ExchangeId> exchange;
    /// Memory that the request takes while it is answered.
    std::size_t serving = 0;
    BufferUse use;             ///< As last passed to the budget.
    core::Instant wait_start;  ///< Start of the idle time or of the request.
    /// Since when there is output that the caller has not read.
    std::optional<core::Instant> unread_since;
    bool keep_alive = true;
    bool head_only = false;  ///< The request is a HEAD: no body is written.
    bool read_waiting = false;
    bool write_waiting = false;
    bool close_when_sent = false;
  };

  void Accept(Listener& listener, std::size_t index);
  void WaitRead(SocketId id);
  void WaitWrite(SocketId id);
  void HandleReadable(SocketId id);
  void HandleWritable(SocketId id);
  void Parse(SocketId id);
  /// Parses what has been received of the next request, from the event loop.
  void ParseLater(SocketId id);
  /// Returns whether the next request on a connection may be parsed.
  [[nodiscard]] static bool CanParse(const Connection& connection);
  /// Returns whether a connection reads on: its request is incomplete, or not
  /// much has been received behind it.
  [[nodiscard]] static bool CanRead(const Connection& connection);
  /// Passes the input to the parser; returns false if the request was rejected.
  bool Feed(SocketId id);
  /// Passes a complete request on, or refuses it for lack of memory.
  void FinishRequest(SocketId id);
  void Reject(SocketId id, unsigned status);
  /// Returns the refusal of a request for which there is no memory.
  [[nodiscard]] Response RefuseForMemory(const Fields& fields) const;
  /// Tells the budget what a connection uses.
  void Account(SocketId id);
  /// Closes a connection for the budget.
  void Evict(SocketId id);
  void Flush(SocketId id);
  /// Writes a complete response to the current request of a connection.
  static void WriteResponse(Connection& connection, const Response& response);
  void CompleteResponse(SocketId id);
  void Close(SocketId id);
  void Disconnect(SocketId id);
  [[nodiscard]] Connection* Find(ExchangeId exchange, SocketId& id);

  boost::asio::io_context& context_;
  ServerHandlers handlers_;
  ServerLimits limits_;
  std::list<Listener> listeners_;
  BufferBudget* budget_ = nullptr;
  BufferOwnerId budget_owner_;
  bool enforcing_ = false;       ///< A call of the budget's Enforce is due.
  std::uint64_t malformed_ = 0;  ///< Rejected requests not logged yet.
  core::Instant next_malformed_log_;  ///< When they may be logged.
  std::unordered_map<SocketId, Connection> connections_;
  std::unordered_map<ExchangeId, SocketId> exchanges_;
  std::uint64_t next_socket_ = 1;
  std::uint64_t next_exchange_ = 1;
  bool draining_ = false;
};

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_SERVER_H_
