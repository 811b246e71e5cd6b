#include "foxquay/quarantine/parts.h"

#include <algorithm>
#include <string>

#include "foxquay/core/hash.h"
#include "foxquay/schema/bounded.h"

namespace foxquay::quarantine {
namespace internal {

constexpr std::size_t kMaxFormatted = 8;

}  // namespace internal

Parts SharedParts(const std::vector<core::PromptPartId>& prompt) {
  if (prompt.size() < 2) return {};
  const std::size_t count = std::min(prompt.size() - 1, kMaxParts);
  Parts parts;
  parts.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    const std::string& id = prompt[index].value();
    parts.emplace_back(id.size() <= schema::kMaxIdBytes
                           ? id
                           : "hash-" + std::to_string(core::Hash(id)));
  }
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

std::string Format(const std::vector<core::PromptPartId>& parts) {
  std::string text;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    if (index == internal::kMaxFormatted) return text + ",...";
    if (index > 0) text += ',';
    text += parts[index].value();
  }
  return text;
}

bool Includes(const Parts& all, const Parts& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

}  // namespace foxquay::quarantine
