#include "foxquay/quarantine/parts.h"

#include <algorithm>
#include <string>

#include "foxquay/core/hash.h"
#include "foxquay/schema/bounded.h"

namespace foxquay::quarantine {
namespace internal {

constexpr std::size_t kMaxFormatted = 8;

/// Prefix of the id of a whole request.
constexpr const char* kRequestPrefix = "request-";

}  // namespace internal

bool IsRequest(const core::PromptPartId& part) {
  return part.value().starts_with(internal::kRequestPrefix);
}

Parts MakeParts(const std::vector<core::PromptPartId>& prompt,
                const std::string& digest) {
  const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
  const std::size_t count = std::min(shared, kMaxParts - 1);
  Parts parts;
  parts.reserve(count + 1);
  for (std::size_t index = 0; index < count; ++index) {
    const std::string& id = prompt[index].value();
    const bool usable =
        id.size() <= schema::kMaxIdBytes && !IsRequest(prompt[index]);
    parts.emplace_back(usable ? id : "hash-" + std::to_string(core::Hash(id)));
  }
  if (!digest.empty()) parts.emplace_back(internal::kRequestPrefix + digest);
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
