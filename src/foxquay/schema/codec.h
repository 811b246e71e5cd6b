#ifndef FOXQUAY_SCHEMA_CODEC_H_
#define FOXQUAY_SCHEMA_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <string>
#include <utility>

#include "foxquay/core/error.h"

namespace foxquay::schema {

/// Encodes a message in the portable binary format of cereal. Thread-safe.
template <class Message>
[[nodiscard]] std::string Encode(const Message& message) {
  std::ostringstream out(std::ios::binary);
  cereal::PortableBinaryOutputArchive archive(out);
  archive(message);
  return std::move(out).str();
}

/// Decodes a message. Thread-safe.
///
/// Errors: kMalformed if the bytes are truncated, longer than the message or
/// exceed a bound of the schema.
template <class Message>
[[nodiscard]] core::Result<Message> Decode(const std::string& bytes) {
  std::istringstream in(bytes, std::ios::binary);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    archive(message);
  } catch (const std::exception&) {
    return make_error_code(core::Error::kMalformed);
  }
  if (in.peek() != std::istringstream::traits_type::eof()) {
    return make_error_code(core::Error::kMalformed);
  }
  return message;
}

}  // namespace foxquay::schema

#endif  // FOXQUAY_SCHEMA_CODEC_H_
