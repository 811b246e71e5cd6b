#include "foxquay/http/endpoint.h"

#include <catch2/catch.hpp>
#include <string>

namespace foxquay::http {
namespace {

bool Holds(const std::string& network, const std::string& address) {
  const auto parsed = ParseNetwork(network);
  const auto endpoint = ParseEndpoint(address);
  REQUIRE(parsed);
  REQUIRE(endpoint);
  return Contains(parsed.value(),
                  reinterpret_cast<const sockaddr&>(endpoint.value().storage));
}

}  // namespace

// Guards against announcements that are accepted from networks outside the
// configured ones.
TEST_CASE("a network contains exactly the addresses with its prefix") {
  CHECK(Holds("10.0.0.0/8", "10.255.0.1:1"));
  CHECK_FALSE(Holds("10.0.0.0/8", "11.0.0.1:1"));
  CHECK(Holds("10.1.2.128/25", "10.1.2.200:1"));
  CHECK_FALSE(Holds("10.1.2.128/25", "10.1.2.100:1"));
  CHECK(Holds("10.1.2.3/32", "10.1.2.3:1"));
  CHECK_FALSE(Holds("10.1.2.3/32", "10.1.2.2:1"));
  CHECK(Holds("0.0.0.0/0", "192.168.1.1:1"));
  CHECK_FALSE(Holds("0.0.0.0/0", "[::1]:1"));
  CHECK(Holds("fd00::/8", "[fd12::1]:1"));
  CHECK_FALSE(Holds("fd00::/8", "[fe80::1]:1"));
  CHECK(Holds("127.0.0.0/8", "[::ffff:127.0.0.1]:1"));
}

// Guards against malformed addresses that are parsed as something else.
TEST_CASE("malformed endpoints and networks are rejected") {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "127.0.0.1:-1", "::1:80", "host:80", "[]:80"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseEndpoint(text));
  }
  for (const char* text : {"10.0.0.0", "10.0.0.0/33", "10.0.0/8", "x/8",
                           "10.0.0.0/", "fd00::/129"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseNetwork(text));
  }
}

}  // namespace foxquay::http
