#ifndef FOXQUAY_SCHEMA_CODEC_H_
#define FOXQUAY_SCHEMA_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>
#include <utility>

#include "foxquay/core/error.h"

namespace foxquay::schema {

/// Encodes a message in the portable binary format of cereal. Thread-safe.
///
/// Errors: kTooLarge if a field exceeds its bound, so that what is encoded can
/// always be decoded.
template <class Message>
[[nodiscard]] core::Result<std::string> TryEncode(const Message& message) {
  std::ostringstream out(std::ios::binary);
  try {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  } catch (const cereal::Exception&) {
    return make_error_code(core::Error::kTooLarge);
  }
  return std::move(out).str();
}

/// As TryEncode, for messages whose sizes the caller has checked.
///
/// Precondition: no field exceeds its bound; the process ends otherwise.
template <class Message>
[[nodiscard]] std::string Encode(const Message& message) {
  core::Result<std::string> encoded = TryEncode(message);
  if (!encoded) std::abort();
  return std::move(encoded).value();
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
