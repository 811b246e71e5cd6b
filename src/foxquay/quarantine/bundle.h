#ifndef FOXQUAY_QUARANTINE_BUNDLE_H_
#define FOXQUAY_QUARANTINE_BUNDLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Merges the reports of many hosts into one, so that what a control host
/// passes on grows with the evidence and not with its followers. Bounded by the
/// size of one report; what does not fit is dropped and comes again, as hosts
/// repeat their reports. Not thread-safe; performs no I/O.
class Bundle {
 public:
  /// Adds a report that was received at `now`.
  void Add(const schema::QuarantineReport& report, core::Instant now);

  /// Returns what was added since the last call, with ages at `now`.
  [[nodiscard]] schema::QuarantineReport Take(core::Instant now);

  [[nodiscard]] bool empty() const noexcept {
    return crashes_.empty() && answered_.empty() && refused_.empty() &&
           reached_.empty();
  }

 private:
  using CrashKey = std::tuple<core::HostId, std::uint64_t, std::uint64_t>;

  std::map<CrashKey, std::pair<schema::ReportedCrash, core::Instant>> crashes_;
  std::map<std::pair<core::ServiceId, core::PromptPartId>, core::Instant>
      answered_;
  std::map<std::pair<core::ServiceId, Parts>, schema::RefusedParts> refused_;
  std::map<std::pair<core::UpstreamId, core::WallTime>, core::Instant> reached_;
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_BUNDLE_H_
