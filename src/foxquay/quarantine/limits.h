#ifndef FOXQUAY_QUARANTINE_LIMITS_H_
#define FOXQUAY_QUARANTINE_LIMITS_H_

#include <cstddef>

namespace foxquay::quarantine {

/// Maximum numbers of entries in a schema::QuarantineReport; equal to the
/// bounds of the schema.
inline constexpr std::size_t kMaxReportedCrashes = 64;
inline constexpr std::size_t kMaxReportedAnswers = 512;
inline constexpr std::size_t kMaxReportedRefusals = 64;
inline constexpr std::size_t kMaxReportedReached = 64;

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_LIMITS_H_
