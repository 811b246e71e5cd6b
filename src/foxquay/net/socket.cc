#include "foxquay/net/socket.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <chrono>

namespace foxquay::net {
namespace internal {

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Maximum number of bytes per read.
constexpr std::size_t kReadBytes = 16384;

}  // namespace internal

core::Result<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return make_error_code(core::Error::kInvalid);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return make_error_code(core::Error::kInvalid);
  }
  return Tcp::endpoint(ip, port);
}

void SetSocketOptions(Tcp::socket& socket) {
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      kUnacknowledgedTimeout);
  // Fails if the connection has closed in the meantime; then its next read or
  // write fails as well.
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(internal::UserTimeout(static_cast<int>(timeout.count())),
                    ignored);
}

IoResult Read(Tcp::socket& socket, std::string& in) {
  std::array<char, internal::kReadBytes> bytes;  // NOLINT: filled by read_some
  boost::system::error_code error;
  const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
  if (error == boost::asio::error::would_block) return IoResult::kWouldBlock;
  if (error == boost::asio::error::eof) return IoResult::kClosed;
  if (error) return IoResult::kFailed;
  in.append(bytes.data(), count);
  return IoResult::kDone;
}

IoResult Write(Tcp::socket& socket, std::string& out) {
  std::size_t sent = 0;
  IoResult result = IoResult::kDone;
  while (sent < out.size()) {
    boost::system::error_code error;
    sent += socket.write_some(
        boost::asio::buffer(out.data() + sent, out.size() - sent), error);
    if (!error) continue;
    result = error == boost::asio::error::would_block ? IoResult::kWouldBlock
                                                      : IoResult::kFailed;
    break;
  }
  out.erase(0, sent);
  return result;
}

}  // namespace foxquay::net
