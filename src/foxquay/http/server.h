#ifndef FOXQUAY_HTTP_SERVER_H_
#define FOXQUAY_HTTP_SERVER_H_

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/error.h"
#include "foxquay/http/fwd.h"

namespace foxquay::http {

/// Socket of the connection that a handler serves.
///
/// Valid until the handler has returned and its response has ended.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int descriptor) : descriptor_(descriptor) {}

  /// Returns the descriptor, or -1.
  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

  /// Ends the connection in both directions; wakes a blocked writer.
  void Abort() const;

  /// Bounds what the kernel holds for a caller that does not read.
  void BoundSendBuffer() const;

 private:
  int descriptor_ = -1;
};

/// One HTTP request as received.
struct Incoming {
  std::string method;
  std::string url;  ///< Path and query, not decoded.
  std::vector<std::pair<std::string, std::string>> headers;
  std::vector<std::pair<std::string, std::string>> parameters;
  std::string body;        ///< Cut one byte above the server's limit.
  bool too_large = false;  ///< Whether the body exceeds the limit.
  sockaddr_storage peer{};
  Connection connection;

  /// Returns the value of a header, ignoring case, or nothing.
  [[nodiscard]] std::optional<std::string> Header(std::string_view name) const;
  /// Returns a path or query parameter, or nothing.
  [[nodiscard]] std::optional<std::string> Parameter(
      std::string_view name) const;
};

/// Source of a streamed body; called by one thread.
struct BodyStream {
  /// Writes up to `max` bytes, blocking until there are some; 0 ends the body.
  std::function<std::size_t(char* out, std::size_t max)> read;
  /// Called once when the body was sent or the connection is lost.
  std::function<void()> closed;
};

/// One HTTP response.
struct Outgoing {
  std::uint32_t status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::optional<BodyStream> stream;  ///< Replaces `body`.
};

/// Serves one route; called concurrently by the connections' threads.
using Handler = std::function<Outgoing(Incoming&&)>;

/// Path pattern of a handler, in the syntax of ulfius.
struct Route {
  std::string method;   ///< "*" for any.
  std::string pattern;  ///< E.g. `/v1/upstreams/:id`.
  Handler handler;
};

/// Limits of a server.
struct ServerOptions {
  std::uint32_t max_body_bytes = 1048576;
  std::uint32_t max_connections = 8192;
};

/// HTTP server with one thread per connection.
class Server {
 public:
  Server(ServerOptions options, std::vector<Route> routes);
  /// Stops the server.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds an `IP:PORT` and starts serving; Error::kUnavailable if it cannot.
  [[nodiscard]] std::error_code Start(const std::string& address);

  /// Closes the listener and all connections. Thread-safe, idempotent.
  void Stop();

  /// Returns the number of requests received whose response has not ended.
  /// Thread-safe.
  [[nodiscard]] std::size_t InFlight() const noexcept;

 private:
  class State;
  std::unique_ptr<State> state_;
};

/// Initializes the HTTP library once per process; not thread-safe.
class Library {
 public:
  Library();
  ~Library();
  Library(const Library&) = delete;
  Library& operator=(const Library&) = delete;
};

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_SERVER_H_
