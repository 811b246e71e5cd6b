#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_PROXY_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_PROXY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "foxquay/core/time.h"

namespace foxquay::platform::soak {

/// A TCP proxy on loopback that can delay, block and reset its connections.
///
/// Direction 0 is from the connecting client to the target, direction 1 is
/// back. Not thread-safe; must outlive the handlers of the context.
class Proxy {
 public:
  /// Listens on a free port of `ip`.
  Proxy(boost::asio::io_context& context, const std::string& ip);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] const std::string& address() const noexcept { return address_; }
  /// Sets the "IP:PORT" to which new connections are forwarded.
  void SetTarget(const std::string& address);
  /// Delays each chunk of data by `delay`; chunks already waiting keep
  /// their delay.
  void SetDelay(core::Duration delay) { delay_ = delay; }
  /// Blocks a direction without closing it, or unblocks it and forwards the
  /// data that was held back.
  void SetBlocked(std::size_t direction, bool blocked);
  /// Closes every open connection with a TCP reset.
  void Reset();

 private:
  using Tcp = boost::asio::ip::tcp;
  /// One socket of a connection and the data last read from it.
  struct Side {
    explicit Side(boost::asio::io_context& context) : socket(context) {}
    Tcp::socket socket;
    std::array<char, 16384> data{};
    std::size_t size = 0;
    bool write_pending = false;  ///< Data waits until unblocked.
    bool read_ended = false;     ///< The peer closed its sending side.
  };
  struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : sides{Side(context), Side(context)} {}
    std::array<Side, 2> sides;
  };

  void Accept();
  void Connect(std::uint64_t id);
  // `from` is the side that data is read from, which is also its direction.
  void Read(std::uint64_t id, std::size_t from);
  void Forward(std::uint64_t id, std::size_t from);
  void Write(std::uint64_t id, std::size_t from);
  void HandleReadEnd(std::uint64_t id, std::size_t from);

  boost::asio::io_context& context_;
  Tcp::acceptor acceptor_;
  std::string address_;
  Tcp::endpoint target_;
  std::unordered_map<std::uint64_t, Connection> connections_;
  std::array<bool, 2> blocked_{};
  core::Duration delay_{};
  std::uint64_t next_id_ = 1;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_PROXY_H_
