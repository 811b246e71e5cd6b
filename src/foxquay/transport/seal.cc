#include "foxquay/transport/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>
#include <utility>

#include "foxquay/schema/codec.h"

namespace foxquay::transport {

Seal::Seal(std::string cluster, std::string key)
    : cluster_(std::move(cluster)), key_(std::move(key)) {
  assert(!key_.empty() && "the peer key must not be empty");
}

std::string Seal::Mac(const std::string& bytes) const {
  std::string mac(kMacBytes, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  return mac;
}

std::string Seal::Close(const core::HostId& sender, std::uint64_t incarnation,
                        std::string payload) const {
  std::string sealed = schema::Encode(
      schema::Envelope{cluster_, sender, incarnation, std::move(payload)});
  sealed += Mac(sealed);
  return sealed;
}

core::Result<schema::Envelope> Seal::Open(const std::string& sealed) const {
  if (sealed.size() > kMaxSealedBytes) {
    return make_error_code(core::Error::kTooLarge);
  }
  if (sealed.size() < kMacBytes) {
    return make_error_code(core::Error::kMalformed);
  }
  const std::string body = sealed.substr(0, sealed.size() - kMacBytes);
  const std::string mac = Mac(body);
  if (CRYPTO_memcmp(mac.data(), sealed.data() + body.size(), kMacBytes) != 0) {
    return make_error_code(core::Error::kUnauthorized);
  }
  auto envelope = schema::Decode<schema::Envelope>(body);
  if (envelope && envelope.value().cluster != cluster_) {
    return make_error_code(core::Error::kUnauthorized);
  }
  return envelope;
}

}  // namespace foxquay::transport
