#ifndef FOXQUAY_QUARANTINE_PARTS_H_
#define FOXQUAY_QUARANTINE_PARTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "foxquay/core/id.h"

namespace foxquay::quarantine {

/// What may cause a crash in one request, ordered by id and each once: the
/// parts of its prompt that other requests may share, and the request as a
/// whole, which only its repeats share.
using Parts = std::vector<core::PromptPartId>;

/// Maximum number of parts of a request that are examined; equals the bound of
/// schema::UpstreamCrash.
inline constexpr std::size_t kMaxParts = 32;

/// Returns the parts of a request. Of its prompt these are all but the last
/// one, which belongs to the request itself or to its session, and the first
/// ones if they are too many; ids that are too long for a message, or could be
/// taken for a whole request, are replaced by a hash. `digest` stands for the
/// request as a whole; if it is empty, that part is missing. Thread-safe.
[[nodiscard]] Parts MakeParts(const std::vector<core::PromptPartId>& prompt,
                              const std::string& digest);

/// Returns whether a part is a whole request. Thread-safe.
[[nodiscard]] bool IsRequest(const core::PromptPartId& part);

/// Returns the ids of parts for a log line, separated by commas and at most
/// eight of them. Thread-safe.
[[nodiscard]] std::string Format(const std::vector<core::PromptPartId>& parts);

/// Returns whether `all` has every part of `some`. Thread-safe.
[[nodiscard]] bool Includes(const Parts& all, const Parts& some);

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_PARTS_H_
