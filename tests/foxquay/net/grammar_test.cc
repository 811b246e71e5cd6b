#include "foxquay/net/grammar.h"

#include <catch2/catch.hpp>
#include <string>

namespace foxquay::net {

TEST_CASE("a status is final, interim or none") {
  for (unsigned status = 0; status <= 1000; ++status) {
    CAPTURE(status);
    CHECK(IsFinalStatus(status) == (status / 100 >= 2 && status / 100 <= 5));
    CHECK(IsInterimStatus(status) == (status / 100 == 1 && status != 101));
  }
}

TEST_CASE("a token has no separators, controls or other bytes") {
  const std::string others = "!#$%&'*+-.^_`|~";
  CHECK_FALSE(IsToken(""));
  for (int byte = 0; byte < 256; ++byte) {
    const auto c = static_cast<char>(byte);
    const bool alphanumeric = (c >= '0' && c <= '9') ||
                              (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    CAPTURE(byte);
    CHECK(IsToken(std::string("a") + c) ==
          (alphanumeric || others.find(c) != std::string::npos));
    CHECK(IsFieldValue(std::string("a") + c) ==
          (byte == '\t' || (byte >= ' ' && byte != 0x7f)));
    CHECK(IsLength(std::string(1, c)) == (c >= '0' && c <= '9'));
  }
  CHECK(IsFieldValue(""));
  CHECK_FALSE(IsLength(""));
}

}  // namespace foxquay::net
