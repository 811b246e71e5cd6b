#include "foxquay/core/digest.h"

#include <openssl/evp.h>

#include <array>
#include <memory>

namespace foxquay::core {

std::string Digest(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    const std::string size = std::to_string(part.size()) + ":";
    EVP_DigestUpdate(context.get(), size.data(), size.size());
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int count = 0;
  EVP_DigestFinal_ex(context.get(), bytes.data(), &count);
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  for (unsigned int index = 0; index < count; ++index) {
    text += kHex[bytes[index] >> 4U];
    text += kHex[bytes[index] & 0xfU];
  }
  return text;
}

}  // namespace foxquay::core
