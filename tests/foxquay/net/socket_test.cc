#include "foxquay/net/socket.h"

#include <catch2/catch.hpp>
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

}  // namespace foxquay::net
