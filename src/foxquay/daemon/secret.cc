#include "foxquay/daemon/secret.h"

#include <openssl/crypto.h>

#include <filesystem>
#include <fstream>

namespace foxquay::daemon {

core::Result<std::string> ReadSecret(const std::string& file) {
  namespace fs = std::filesystem;
  std::error_code error;
  const fs::perms permissions = fs::status(file, error).permissions();
  if (error) return make_error_code(core::Error::kNotFound);
  constexpr fs::perms kOthers = fs::perms::group_all | fs::perms::others_all;
  if ((permissions & kOthers) != fs::perms::none) {
    return make_error_code(core::Error::kUnauthorized);
  }
  std::ifstream in(file);
  std::string secret;
  if (!in) return make_error_code(core::Error::kNotFound);
  std::getline(in, secret);
  if (secret.empty()) return make_error_code(core::Error::kInvalid);
  return secret;
}

bool SecretsEqual(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace foxquay::daemon
