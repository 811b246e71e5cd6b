#include "foxquay/quarantine/recorder.h"

#include <algorithm>
#include <utility>

#include "foxquay/quarantine/limits.h"

namespace foxquay::quarantine {

void Recorder::RecordBegin(const core::ServiceId& service, const Parts& parts,
                           core::Instant now) {
  for (const core::PromptPartId& part : parts) {
    parts_.GetOrCreate({service, part}, {}).begun = now;
  }
}

void Recorder::RecordAnswer(const core::ServiceId& service, const Parts& parts,
                            core::Instant now) {
  for (const core::PromptPartId& part : parts) {
    Part answered;
    answered.begun = now;
    answered.answered = now;
    parts_.GetOrCreate({service, part}, {}) = answered;
  }
}

void Recorder::RecordCrash(const core::ServiceId& service,
                           const core::WorkspaceId& workspace,
                           const core::UpstreamId& upstream,
                           core::WallTime born, const Parts& parts, bool begun,
                           core::Instant now) {
  Parts suspected;
  for (const core::PromptPartId& id : parts) {
    Part& part = parts_.GetOrCreate({service, id}, {});
    const bool same = part.crashes > 0 && part.last_crashed == upstream &&
                      part.last_born == born;
    if (!same) ++part.crashes;
    part.last_crashed = upstream;
    part.last_born = born;
    // Each upstream that ends cuts off answers to many requests that are in no
    // other crash.
    const bool repeated = !IsRequest(id) || part.crashes > 1;
    if (!begun || (!part.answered && repeated)) suspected.push_back(id);
  }
  if (suspected.empty()) return;
  schema::UpstreamCrash crash;
  crash.number = next_crash_++ | (begun ? kBegunCrash : 0);
  crash.service = service;
  crash.workspace = workspace;
  crash.upstream = upstream;
  crash.born = born;
  crash.parts = std::move(suspected);
  crashes_.push_back({std::move(crash), now});
  if (crashes_.size() > kMaxReportedCrashes) crashes_.pop_front();
}

void Recorder::RecordRefusal(const schema::Quarantine& quarantine,
                             core::Instant now) {
  const auto key = std::make_pair(quarantine.service, quarantine.parts);
  if (refused_.size() < kMaxReportedRefusals || refused_.contains(key)) {
    refused_[key] = now;
  }
}

bool Recorder::Trusts(const core::ServiceId& service, const Parts& parts,
                      core::Instant now) const {
  return std::all_of(
      parts.begin(), parts.end(), [&](const core::PromptPartId& id) {
        const Part* part = parts_.Find({service, id});
        return part != nullptr && part->begun &&
               now - *part->begun <= kTrustTime && part->crashes <= 1;
      });
}

void Recorder::SetWatched(const std::vector<schema::PromptPart>& watched,
                          core::Instant now) {
  std::map<Key, core::Instant> updated;
  for (const schema::PromptPart& part : watched) {
    const Key key{part.service, part.part};
    const auto known = watched_.find(key);
    updated.emplace(key, known == watched_.end() ? now : known->second);
  }
  watched_ = std::move(updated);
}

schema::QuarantineReport Recorder::Report(core::Instant now) {
  while (!crashes_.empty() && now - crashes_.front().at > kReportTime) {
    crashes_.pop_front();
  }
  std::erase_if(refused_, [now](const auto& item) {
    return now - item.second > kReportTime;
  });
  schema::QuarantineReport report;
  for (const Crash& crash : crashes_) {
    report.crashes.push_back({{}, 0, crash.crash});
    report.crashes.back().crash.age = now - crash.at;
  }
  for (const auto& [key, since] : watched_) {
    const Part* part = parts_.Find(key);
    if (part == nullptr || !part->answered) continue;
    const bool recent =
        now - since <= kReportTime || now - *part->answered <= kReportTime;
    if (recent) {
      report.answered.push_back({key.first, key.second, now - *part->answered});
    }
  }
  for (const auto& [key, at] : refused_) {
    report.refused.push_back({key.first, key.second, {}, 0});
  }
  return report;
}

}  // namespace foxquay::quarantine
