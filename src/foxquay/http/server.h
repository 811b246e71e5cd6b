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

/// Socket of the connection that a request arrived on.
///
/// Valid until the handler has returned and its response has ended.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int descriptor) : descriptor_(descriptor) {}

  /// Returns the file descriptor, or -1 if there is none.
  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

  /// Shuts the connection down in both directions; unblocks a pending write.
  void Abort() const;

  /// Limits the kernel's send buffer to 64 KiB, which bounds the data held for
  /// a caller that does not read.
  void BoundSendBuffer() const;

 private:
  int descriptor_ = -1;
};

/// One HTTP request as received.
struct Incoming {
  std::string method;
  std::string url;  ///< Path and query, still percent-encoded.
  std::vector<std::pair<std::string, std::string>> headers;
  std::vector<std::pair<std::string, std::string>> parameters;
  std::string body;        ///< Truncated to one byte above the limit.
  bool too_large = false;  ///< Whether the body exceeds the limit.
  sockaddr_storage peer{};
  Connection connection;

  /// Returns the value of a header, or nothing; ignores the case of its name.
  [[nodiscard]] std::optional<std::string> Header(std::string_view name) const;
  /// Returns the value of a path or query parameter, or nothing.
  [[nodiscard]] std::optional<std::string> Parameter(
      std::string_view name) const;
};

/// Source of a streamed response body; called from one thread.
struct BodyStream {
  /// Writes up to `max` bytes to `out` and returns their number; blocks until
  /// there are some. 0 ends the body.
  std::function<std::size_t(char* out, std::size_t max)> read;
  /// Called once, when the body has been sent or the connection is lost.
  std::function<void()> closed;
};

/// One HTTP response.
struct Outgoing {
  std::uint32_t status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::optional<BodyStream> stream;  ///< If set, sent instead of `body`.
};

/// Handles the requests of one route; called concurrently from the threads of
/// the connections.
using Handler = std::function<Outgoing(Incoming&&)>;

/// Assigns a handler to a path pattern in the syntax of ulfius.
struct Route {
  std::string method;   ///< HTTP method, or "*" for any.
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

  /// Binds to an `IP:PORT` and starts to serve. Call at most once.
  ///
  /// Errors: kMalformed if the address is not `IP:PORT`, kUnavailable if the
  /// library cannot listen on it.
  [[nodiscard]] std::error_code Start(const std::string& address);

  /// Closes the listener and all connections. Thread-safe; further calls have
  /// no effect.
  void Stop();

  /// Returns the number of requests whose handler was called and whose response
  /// has not ended. Thread-safe.
  [[nodiscard]] std::size_t InFlight() const noexcept;

 private:
  class State;
  std::unique_ptr<State> state_;
};

/// Initializes the HTTP library and cleans it up when destroyed. Create one per
/// process, before other threads use this module; not thread-safe.
class Library {
 public:
  Library();
  ~Library();
  Library(const Library&) = delete;
  Library& operator=(const Library&) = delete;
};

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_SERVER_H_
