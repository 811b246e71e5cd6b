#ifndef FOXQUAY_NET_SOCKET_H_
#define FOXQUAY_NET_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "foxquay/core/error.h"
#include "foxquay/core/time.h"
#include "foxquay/net/clock.h"
#include "foxquay/net/fwd.h"

namespace foxquay::net {

using Tcp = boost::asio::ip::tcp;

/// Time that sent data may stay unacknowledged before the kernel closes a
/// connection (TCP_USER_TIMEOUT). Shorter than the three seconds after which a
/// peer counts as disconnected.
inline constexpr core::Duration kUnacknowledgedTimeout =
    std::chrono::milliseconds(2000);

/// Parses `IP:PORT`, with or without brackets around an IPv6 address. Fails
/// with Error::kInvalid if `address` has another form. Thread-safe.
[[nodiscard]] core::Result<Tcp::endpoint> ParseEndpoint(
    const std::string& address);

/// Makes a connected socket non-blocking, disables Nagle's algorithm and sets
/// kUnacknowledgedTimeout.
void SetSocketOptions(Tcp::socket& socket);

/// Result of a non-blocking read or write.
enum class IoResult : std::uint8_t {
  kDone,        ///< Data was transferred.
  kWouldBlock,  ///< The socket is not ready.
  kClosed,      ///< The peer has closed its sending direction.
  kFailed,      ///< The connection is lost.
};

/// Reads once from the socket and appends the data to `in`.
[[nodiscard]] IoResult Read(Tcp::socket& socket, std::string& in);

/// Writes as much of `out` as the socket takes and removes it from `out`.
/// Returns kDone if `out` was written completely.
[[nodiscard]] IoResult Write(Tcp::socket& socket, std::string& out);

/// Calls `handle` with the connection's id once its socket is ready for `kind`.
/// Does nothing if such a wait is in progress, which the member `waiting` of
/// the connection records; `handle` is not called if the connection has been
/// erased in the meantime. Precondition: `connections` contains `id` and
/// outlives the handlers of the io_context.
template <class Connection, class Handle>
void AwaitReady(std::unordered_map<SocketId, Connection>& connections,
                SocketId id, Tcp::socket::wait_type kind,
                bool Connection::*waiting, Handle handle) {
  Connection& connection = connections.at(id);
  if (std::exchange(connection.*waiting, true)) return;
  connection.socket.async_wait(
      kind, [&connections, id, waiting,
             handle = std::move(handle)](const boost::system::error_code&) {
        const auto found = connections.find(id);
        if (found == connections.end()) return;
        found->second.*waiting = false;
        handle(id);
      });
}

}  // namespace foxquay::net

#endif  // FOXQUAY_NET_SOCKET_H_
