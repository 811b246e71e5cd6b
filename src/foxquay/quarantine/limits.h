#ifndef FOXQUAY_QUARANTINE_LIMITS_H_
#define FOXQUAY_QUARANTINE_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Maximum numbers of entries in a schema::QuarantineReport; equal to the
/// bounds of the schema.
inline constexpr std::size_t kMaxReportedCrashes = 64;
inline constexpr std::size_t kMaxReportedAnswers = 512;
inline constexpr std::size_t kMaxReportedRefusals = 64;
inline constexpr std::size_t kMaxReportedReached = 64;

/// Bit of schema::UpstreamCrash::number that is set if a part of the answer had
/// arrived. The field only has to differ between the crashes of a host, so that
/// builds which do not know the bit read these reports like all others.
inline constexpr std::uint64_t kBegunCrash = std::uint64_t{1} << 63;

/// Returns whether a part of the answer had arrived at a crash. Thread-safe.
[[nodiscard]] inline bool HadBegun(const schema::UpstreamCrash& crash) {
  return (crash.number & kBegunCrash) != 0;
}

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_LIMITS_H_
