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

/// Time without acknowledgement after which the system gives a connection up.
/// Below the three seconds in which a peer counts as cut off.
inline constexpr core::Duration kUnacknowledgedTimeout =
    std::chrono::milliseconds(2000);

/// Parses `IP:PORT`, with or without brackets around an IPv6 address;
/// Error::kInvalid if it is not one. Thread-safe.
[[nodiscard]] core::Result<Tcp::endpoint> ParseEndpoint(
    const std::string& address);

/// Makes a connected socket non-blocking and sets the options that all
/// connections share.
void SetSocketOptions(Tcp::socket& socket);

/// What a non-blocking operation did.
enum class IoResult : std::uint8_t {
  kDone,        ///< Bytes were moved.
  kWouldBlock,  ///< Nothing is possible now.
  kClosed,      ///< The peer has ended its direction.
  kFailed,      ///< The connection is lost.
};

/// Appends what has arrived to `in`.
[[nodiscard]] IoResult Read(Tcp::socket& socket, std::string& in);

/// Sends from the front of `out` and removes what was sent; kDone if all was.
[[nodiscard]] IoResult Write(Tcp::socket& socket, std::string& out);

/// Calls `handle` with the connection's id once its socket is ready, unless
/// that is awaited already or the connection is gone by then. `waiting` is the
/// member that notes the wait; the map outlives the io_context's handlers.
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
