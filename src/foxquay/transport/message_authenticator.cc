#include "foxquay/transport/message_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>
#include <utility>

#include "foxquay/schema/codec.h"

namespace foxquay::transport {

MessageAuthenticator::MessageAuthenticator(std::string cluster, std::string key)
    : cluster_(std::move(cluster)), key_(std::move(key)) {
  assert(!key_.empty() && "the peer key must not be empty");
}

std::string MessageAuthenticator::Mac(const std::string& bytes) const {
  std::string mac(kMacBytes, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

core::Result<std::string> MessageAuthenticator::Sign(
    const core::HostId& sender, std::uint64_t incarnation,
    std::string payload) const {
  core::Result<std::string> envelope = schema::TryEncode(
      schema::Envelope{cluster_, sender, incarnation, std::move(payload)});
  if (!envelope) return envelope.error();
  const std::string mac = Mac(envelope.value());
  return std::move(envelope).value() + mac;
}

core::Result<schema::Envelope> MessageAuthenticator::Verify(
    const std::string& signed_message) const {
  if (signed_message.size() > kMaxSignedBytes) {
    return make_error_code(core::Error::kTooLarge);
  }
  if (signed_message.size() < kMacBytes) {
    return make_error_code(core::Error::kMalformed);
  }
  const std::string body =
      signed_message.substr(0, signed_message.size() - kMacBytes);
  const std::string mac = Mac(body);
  if (CRYPTO_memcmp(mac.data(), signed_message.data() + body.size(),
                    kMacBytes) != 0) {
    return make_error_code(core::Error::kUnauthorized);
  }
  auto envelope = schema::Decode<schema::Envelope>(body);
  if (envelope && envelope.value().cluster != cluster_) {
    return make_error_code(core::Error::kUnauthorized);
  }
  return envelope;
}

}  // namespace foxquay::transport
