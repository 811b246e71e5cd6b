#include "foxquay/net/socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::net {

// Guards against an IPv6 address that the settings accept but the server cannot
// bind.
TEST_CASE("an endpoint is parsed with and without brackets") {
  const auto plain = ParseEndpoint("127.0.0.1:80");
  REQUIRE(plain);
  CHECK(plain.value().address().is_v4());
  const auto bracketed = ParseEndpoint("[::1]:443");
  REQUIRE(bracketed);
  CHECK(bracketed.value().address().is_v6());
  CHECK(bracketed.value().port() == 443);
}

TEST_CASE("a malformed endpoint is rejected") {
  const std::string text =
      GENERATE("", "127.0.0.1", "127.0.0.1:", "host:80", "127.0.0.1:80x",
               "127.0.0.1:70000", "[::1", "[]:80");
  CAPTURE(text);
  CHECK_FALSE(ParseEndpoint(text));
}

// Upstreams that are sound may be silent for up to a second and a half. With
// TCP_USER_TIMEOUT set, keep-alive probes would end idle connections after that
// time as well, whatever their number.
TEST_CASE(
    "a peer that is silent for a second and a half keeps its connection") {
  constexpr std::chrono::milliseconds kSilence{1500};
  boost::asio::io_context context;
  Tcp::acceptor acceptor(context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket socket(context);
  socket.connect(acceptor.local_endpoint());
  SetSocketOptions(socket);
  int timeout = 0;
  socklen_t size = sizeof(timeout);
  REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &timeout, &size) == 0);
  CHECK(std::chrono::milliseconds(timeout) > kSilence);
  boost::asio::socket_base::keep_alive keep_alive;
  socket.get_option(keep_alive);
  CHECK_FALSE(keep_alive.value());
}

}  // namespace foxquay::net
