#ifndef FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SAMPLES_H_
#define FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SAMPLES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

inline const core::ServiceId kService("model");
inline const core::WorkspaceId kWorkspace("w");

inline core::Instant At(int ms) {
  return core::Instant(std::chrono::milliseconds(ms));
}

inline Parts MakeParts(const std::vector<std::string>& ids) {
  Parts parts;
  for (const std::string& id : ids) parts.emplace_back(id);
  return parts;
}

/// Returns a report of one crash that was seen at the time of the report.
inline schema::QuarantineReport CrashOf(
    int upstream, const std::vector<std::string>& parts,
    const core::WorkspaceId& workspace = kWorkspace,
    const core::ServiceId& service = kService) {
  schema::ReportedCrash reported;
  reported.host = core::HostId("host");
  reported.incarnation = 1;
  static std::uint64_t number = 0;
  reported.crash.number = ++number;
  reported.crash.service = service;
  reported.crash.workspace = workspace;
  reported.crash.upstream = core::UpstreamId("u" + std::to_string(upstream));
  reported.crash.parts = MakeParts(parts);
  schema::QuarantineReport report;
  report.crashes.push_back(reported);
  return report;
}

/// Returns a report that a part was answered at the time of the report.
inline schema::QuarantineReport AnswerTo(const std::string& part) {
  schema::QuarantineReport report;
  report.answered.push_back({kService, core::PromptPartId(part), {}});
  return report;
}

/// Returns a report that a host refused a request by a quarantine.
inline schema::QuarantineReport RefusalOf(const std::vector<std::string>& parts,
                                          const std::string& host) {
  schema::QuarantineReport report;
  report.refused.push_back({kService, MakeParts(parts), core::HostId(host), 7});
  return report;
}

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_TESTS_FOXQUAY_QUARANTINE_SAMPLES_H_
