#include "foxquay/schema/codec.h"

#include <catch2/catch.hpp>

#include "foxquay/schema/announcement.h"

namespace foxquay::schema {
namespace {

Announcement Sample() {
  Announcement announcement;
  announcement.id = core::UpstreamId("gpu-1");
  announcement.address = "127.0.0.1:9000";
  announcement.adapters = {"quotes"};
  announcement.layers = {0, 15};
  return announcement;
}

}  // namespace

TEST_CASE("a decoded message equals the encoded one") {
  const auto decoded = Decode<Announcement>(Encode(Sample()));
  REQUIRE(decoded);
  CHECK(decoded.value() == Sample());
}

// Guards against decoders that accept a truncated or padded message.
TEST_CASE("truncated or padded input is rejected") {
  const std::string bytes = Encode(Sample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(Decode<Announcement>(bytes.substr(0, size)));
  }
  CHECK_FALSE(Decode<Announcement>(bytes + "x"));
}

// Guards against a size field that makes the decoder allocate without bound.
TEST_CASE("a size above its bound is rejected") {
  Announcement announcement = Sample();
  announcement.address = std::string(Announcement::kMaxAddress, '1');
  std::string bytes = Encode(announcement);
  REQUIRE(Decode<Announcement>(bytes));
  // The size is the number before the string; one more byte exceeds the bound.
  const std::size_t begin = bytes.find(announcement.address);
  constexpr std::size_t kSizeBytes = 8;
  REQUIRE(bytes[begin - kSizeBytes] ==
          static_cast<char>(Announcement::kMaxAddress));
  ++bytes[begin - kSizeBytes];
  bytes.insert(begin, 1, '1');
  CHECK_FALSE(Decode<Announcement>(bytes));
  announcement.address += '1';
  CHECK(TryEncode(announcement).error() ==
        make_error_code(core::Error::kTooLarge));
}

}  // namespace foxquay::schema
