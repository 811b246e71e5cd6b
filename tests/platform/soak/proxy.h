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

/// A TCP proxy on loopback that delays, holds back and resets connections.
///
/// Direction 0 leads from the side that connects to the target, 1 back. Not
/// thread-safe; lives as long as the context runs.
class Proxy {
 public:
  /// Listens on a free port of `ip`.
  Proxy(boost::asio::io_context& context, const std::string& ip);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] const std::string& address() const noexcept { return address_; }
  void SetTarget(const std::string& address);
  /// Delays each piece of data.
  void SetDelay(core::Duration delay) { delay_ = delay; }
  /// Holds back what flows in a direction, or lets it flow again.
  void SetBlocked(std::size_t direction, bool blocked);
  /// Resets every open connection.
  void Reset();

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Side {
    explicit Side(boost::asio::io_context& context) : socket(context) {}
    Tcp::socket socket;
    std::array<char, 16384> data{};
    std::size_t size = 0;
    bool write_pending =
        false;  ///< Data waits for the direction to flow again.
    bool read_ended = false;
  };
  struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : sides{Side(context), Side(context)} {}
    std::array<Side, 2> sides;
  };

  void Accept();
  void Connect(std::uint64_t id);
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
