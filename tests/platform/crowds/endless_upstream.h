#ifndef FOXQUAY_TESTS_PLATFORM_CROWDS_ENDLESS_UPSTREAM_H_
#define FOXQUAY_TESTS_PLATFORM_CROWDS_ENDLESS_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <list>
#include <string>
#include <vector>

#include "foxquay/net/socket.h"

namespace foxquay::platform::crowds {

/// What a faulty upstream sends in place of an answer, until its caller closes
/// the connection.
struct EndlessAnswer {
  std::string begin;
  std::string repeated;
};

/// An upstream that answers each connection with another one of its endless
/// answers, in turn. Not thread-safe; must outlive the handlers of the context.
class EndlessUpstream {
 public:
  EndlessUpstream(boost::asio::io_context& context,
                  std::vector<EndlessAnswer> answers);
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  [[nodiscard]] std::string address() const;
  /// Returns how many answers have begun.
  [[nodiscard]] std::size_t begun() const noexcept { return begun_; }
  /// Returns how many connections are open.
  [[nodiscard]] std::size_t open() const noexcept { return open_; }

 private:
  struct Connection {
    explicit Connection(net::Tcp::socket accepted)
        : socket(std::move(accepted)) {}
    net::Tcp::socket socket;
    std::string request;
    std::string out;
  };

  void Accept();
  void Read(Connection& connection);
  void Write(Connection& connection, const EndlessAnswer& answer);

  net::Tcp::acceptor acceptor_;
  std::vector<EndlessAnswer> answers_;
  std::list<Connection> connections_;
  std::size_t begun_ = 0;
  std::size_t open_ = 0;
};

}  // namespace foxquay::platform::crowds

#endif  // FOXQUAY_TESTS_PLATFORM_CROWDS_ENDLESS_UPSTREAM_H_
