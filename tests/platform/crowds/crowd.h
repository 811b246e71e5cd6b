#ifndef FOXQUAY_TESTS_PLATFORM_CROWDS_CROWD_H_
#define FOXQUAY_TESTS_PLATFORM_CROWDS_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <string>

#include "foxquay/net/socket.h"

namespace foxquay::platform::crowds {

/// What a hostile caller sends on one connection, which it keeps open and never
/// reads from.
struct Message {
  std::string begin;
  std::string repeated;
  std::size_t repeats = 0;
  std::string end = {};
};

/// Connections of hostile callers. Not thread-safe; must outlive the handlers
/// of the context.
class Crowd {
 public:
  explicit Crowd(boost::asio::io_context& context) : context_(context) {}
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Opens `connections` to an address, `IP:PORT`, each of which sends the
  /// message.
  void Attack(const std::string& address, const Message& message,
              std::size_t connections);
  /// Returns how many bytes were sent.
  [[nodiscard]] std::size_t sent() const noexcept { return sent_; }
  /// Returns how many connections have neither sent everything nor failed.
  [[nodiscard]] std::size_t sending() const noexcept { return sending_; }

 private:
  struct Connection {
    Connection(boost::asio::io_context& context, const Message& content)
        : socket(context), message(content) {}
    net::Tcp::socket socket;
    const Message& message;
    std::size_t part = 0;    ///< 0 for the begin, then the repeats, the end.
    std::size_t offset = 0;  ///< Sent bytes of the part.
  };

  void Send(Connection& connection);

  boost::asio::io_context& context_;
  std::deque<Message> messages_;
  std::deque<Connection> connections_;
  std::size_t sent_ = 0;
  std::size_t sending_ = 0;
};

}  // namespace foxquay::platform::crowds

#endif  // FOXQUAY_TESTS_PLATFORM_CROWDS_CROWD_H_
