#ifndef FOXQUAY_QUARANTINE_PARTS_H_
#define FOXQUAY_QUARANTINE_PARTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "foxquay/core/id.h"

namespace foxquay::quarantine {

/// Parts of one prompt, ordered by id and each once.
using Parts = std::vector<core::PromptPartId>;

/// Maximum number of parts of a prompt that are examined; equals the bound of
/// schema::UpstreamCrash.
inline constexpr std::size_t kMaxParts = 32;

/// Returns the parts of a prompt that other requests may share: all but the
/// last one, which belongs to the request itself or to its session, and at most
/// kMaxParts, the first ones. Ids that are too long for a message are replaced
/// by a hash. Thread-safe.
[[nodiscard]] Parts SharedParts(const std::vector<core::PromptPartId>& prompt);

/// Returns the ids of parts for a log line, separated by commas and at most
/// eight of them. Thread-safe.
[[nodiscard]] std::string Format(const std::vector<core::PromptPartId>& parts);

/// Returns whether `all` has every part of `some`. Thread-safe.
[[nodiscard]] bool Includes(const Parts& all, const Parts& some);

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_PARTS_H_
