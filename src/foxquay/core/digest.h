#ifndef FOXQUAY_CORE_DIGEST_H_
#define FOXQUAY_CORE_DIGEST_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace foxquay::core {

/// Returns the SHA-256 of the parts as hex. Each part is preceded by its
/// length, so that different splits of the same bytes differ. Thread-safe.
[[nodiscard]] std::string Digest(std::initializer_list<std::string_view> parts);

}  // namespace foxquay::core

#endif  // FOXQUAY_CORE_DIGEST_H_
