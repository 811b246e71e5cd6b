#ifndef FOXQUAY_CORE_HASH_H_
#define FOXQUAY_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace foxquay::core {

/// Hashes bytes with FNV-1a and a final mix. The result is the same on every
/// host and in every build.
///
/// Does not resist deliberate collisions. Thread-safe.
[[nodiscard]] constexpr std::uint64_t Hash(std::string_view bytes,
                                           std::uint64_t seed = 0) noexcept {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_HASH_H_
