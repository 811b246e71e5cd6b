#include "foxquay/quarantine/bundle.h"

#include <algorithm>

#include "foxquay/quarantine/limits.h"

namespace foxquay::quarantine {

void Bundle::Add(const schema::QuarantineReport& report, core::Instant now) {
  for (const schema::ReportedCrash& crash : report.crashes) {
    if (crashes_.size() >= kMaxReportedCrashes) break;
    crashes_.try_emplace({crash.host, crash.incarnation, crash.crash.number},
                         crash, now - crash.crash.age);
  }
  for (const schema::AnsweredPart& answer : report.answered) {
    const auto key = std::make_pair(answer.service, answer.part);
    if (answered_.size() >= kMaxReportedAnswers && !answered_.contains(key)) {
      continue;
    }
    core::Instant& at = answered_[key];
    at = std::max(at, now - answer.age);
  }
  for (const schema::RefusedParts& refusal : report.refused) {
    if (refused_.size() >= kMaxReportedRefusals) break;
    refused_[{refusal.service, refusal.parts}] = refusal;
  }
  for (const schema::ReachedUpstream& upstream : report.reached) {
    if (reached_.size() >= kMaxReportedReached) break;
    core::Instant& at = reached_[{upstream.upstream, upstream.born}];
    at = std::max(at, now - upstream.age);
  }
}

schema::QuarantineReport Bundle::Take(core::Instant now) {
  schema::QuarantineReport report;
  for (auto& [key, value] : crashes_) {
    value.first.crash.age = now - value.second;
    report.crashes.push_back(std::move(value.first));
  }
  for (const auto& [key, at] : answered_) {
    report.answered.push_back({key.first, key.second, now - at});
  }
  for (auto& [key, refusal] : refused_) {
    report.refused.push_back(std::move(refusal));
  }
  for (const auto& [key, at] : reached_) {
    report.reached.push_back({key.first, key.second, now - at});
  }
  crashes_.clear();
  answered_.clear();
  refused_.clear();
  reached_.clear();
  return report;
}

}  // namespace foxquay::quarantine
