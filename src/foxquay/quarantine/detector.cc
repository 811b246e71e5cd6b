#include "foxquay/quarantine/detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "foxquay/quarantine/limits.h"
#include "foxquay/quarantine/table.h"

namespace foxquay::quarantine {
namespace internal {

/// Maximum number of parts that one quarantine names; equals the bound of the
/// schema.
constexpr std::size_t kMaxQuarantinedParts = 8;

/// Moments at which upstreams have to crash on a part that was never answered:
/// the loss of a rack, which cuts off all requests at its upstreams, is one.
constexpr std::size_t kMinMoments = 2;

/// Interval at which evidence that is too old is removed.
constexpr core::Duration kForgetInterval = std::chrono::seconds(1);

bool IsQuarantined(const schema::QuarantineTable& table,
                   const core::ServiceId& service, const Parts& parts) {
  return std::any_of(table.entries.begin(), table.entries.end(),
                     [&](const schema::Quarantine& entry) {
                       return entry.service == service && entry.parts == parts;
                     });
}

/// Returns a quarantine with another generation than `entry`, otherwise equal.
schema::Quarantine NextGeneration(const schema::Quarantine& entry) {
  schema::Quarantine next = entry;
  ++next.generation;
  return next;
}

}  // namespace internal

void Detector::AddCrash(const schema::ReportedCrash& reported,
                        core::Instant now) {
  const bool known =
      std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.host == reported.host &&
               crash.incarnation == reported.incarnation &&
               crash.report.number == reported.crash.number;
      });
  if (known) return;
  Crash crash{reported.host, reported.incarnation, reported.crash,
              now - reported.crash.age, now};
  const auto reached = reached_.find(crash.upstream());
  if (reached != reached_.end() && reached->second > crash.at) return;
  pending_ = true;
  std::sort(crash.report.parts.begin(), crash.report.parts.end());
  crashes_.push_back(std::move(crash));
  if (crashes_.size() <= kMaxCrashes) return;
  // The oldest crash of the workspace that has most makes room, so that one
  // workspace does not displace the evidence of others.
  std::map<core::WorkspaceId, std::size_t> counts;
  for (const Crash& each : crashes_) ++counts[each.report.workspace];
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  crashes_.erase(
      std::find_if(crashes_.begin(), crashes_.end(), [most](const Crash& each) {
        return each.report.workspace == most->first;
      }));
}

void Detector::Record(const schema::QuarantineReport& report,
                      core::Instant now) {
  for (const schema::ReportedCrash& crash : report.crashes) {
    AddCrash(crash, now);
  }
  for (const schema::AnsweredPart& answer : report.answered) {
    const core::Instant at = now - answer.age;
    const auto [found, inserted] =
        answered_.try_emplace({answer.service, answer.part}, at);
    if (!inserted) found->second = std::max(found->second, at);
  }
  for (const schema::RefusedParts& refusal : report.refused) {
    refused_[{refusal.service, refusal.parts}] = {refusal.host,
                                                  refusal.incarnation, now};
  }
  for (const schema::ReachedUpstream& upstream : report.reached) {
    RecordReached(upstream.upstream, upstream.born, now - upstream.age);
  }
}

void Detector::RecordReached(const core::UpstreamId& upstream,
                             core::WallTime born, core::Instant at) {
  const Incarnation incarnation{upstream, born};
  std::erase_if(crashes_, [&](const Crash& crash) {
    return crash.upstream() == incarnation && crash.at < at;
  });
  // Hosts repeat their reports.
  core::Instant& last = reached_[incarnation];
  last = std::max(last, at);
}

std::vector<schema::PromptPart> Detector::Watched(
    const schema::QuarantineTable& table) const {
  std::set<PartKey> parts;
  std::map<PartKey, Incarnation> crashed_once;
  for (const schema::Quarantine& entry : table.entries) {
    for (const core::PromptPartId& part : entry.parts) {
      parts.emplace(entry.service, part);
    }
  }
  for (const Crash& crash : crashes_) {
    for (const core::PromptPartId& part : crash.report.parts) {
      const auto answer = LastAnswer(crash.report.service, part);
      if (answer && *answer >= crash.at) continue;
      const PartKey key{crash.report.service, part};
      const auto [first, inserted] =
          crashed_once.try_emplace(key, crash.upstream());
      const bool again = !inserted && first->second != crash.upstream();
      if (again || !IsRequest(part)) parts.insert(key);
    }
  }
  std::vector<schema::PromptPart> watched;
  for (const PartKey& key : parts) {
    if (watched.size() >= kMaxReportedAnswers) break;
    watched.push_back({key.first, key.second});
  }
  return watched;
}

void Detector::Forget(const schema::QuarantineTable& table, core::Instant now) {
  if (table.version == reviewed_version_ && now < next_forget_) return;
  next_forget_ = now + internal::kForgetInterval;
  std::erase_if(crashes_, [now](const Crash& crash) {
    return now - crash.at > kCrashRetention;
  });
  std::erase_if(reached_, [now](const auto& item) {
    return now - item.second > kCrashRetention;
  });
  std::set<PartKey> known;
  for (const Crash& crash : crashes_) {
    for (const core::PromptPartId& part : crash.report.parts) {
      known.emplace(crash.report.service, part);
    }
  }
  for (const schema::Quarantine& entry : table.entries) {
    for (const core::PromptPartId& part : entry.parts) {
      known.emplace(entry.service, part);
    }
  }
  std::erase_if(answered_, [&known](const auto& item) {
    return !known.contains(item.first);
  });
  std::map<EntryKey, Seen> seen;
  for (const schema::Quarantine& entry : table.entries) {
    const EntryKey key{entry.service, entry.parts};
    const auto former = seen_.find(key);
    Seen current{entry.generation, now, now};
    if (former != seen_.end()) {
      current.first = former->second.first;
      if (former->second.generation == entry.generation) {
        current.changed = former->second.changed;
      }
    }
    seen.emplace(key, current);
  }
  seen_ = std::move(seen);
  std::erase_if(refused_, [this](const auto& item) {
    return !seen_.contains(item.first);
  });
}

std::optional<core::Instant> Detector::LastAnswer(
    const core::ServiceId& service, const core::PromptPartId& part) const {
  const auto found = answered_.find({service, part});
  if (found == answered_.end()) return std::nullopt;
  return found->second;
}

std::optional<Change> Detector::ReviewAnswers(
    const schema::QuarantineTable& table, const schema::Quarantine& entry,
    core::Instant last_crash) const {
  Parts suspected;
  for (const core::PromptPartId& part : entry.parts) {
    const auto answer = LastAnswer(entry.service, part);
    if (!answer || *answer <= last_crash) suspected.push_back(part);
  }
  if (suspected.size() == entry.parts.size()) return std::nullopt;
  // The narrower quarantine comes first, so that no crash lies between them.
  if (!suspected.empty() &&
      !internal::IsQuarantined(table, entry.service, suspected)) {
    schema::Quarantine narrower = entry;
    narrower.parts = suspected;
    narrower.generation = 1;
    return schema::PutQuarantine{std::move(narrower)};
  }
  return schema::ReleaseQuarantine{entry.service, entry.parts,
                                   entry.generation};
}

std::optional<Change> Detector::ReviewProbe(const schema::Quarantine& entry,
                                            const Seen& seen,
                                            core::Instant last_crash,
                                            core::Instant now) const {
  const bool probing = !entry.prober.empty();
  if (probing && last_crash > seen.changed) {
    schema::Quarantine next = internal::NextGeneration(entry);
    next.prober = core::HostId();
    next.prober_incarnation = 0;
    ++next.probes;
    return schema::PutQuarantine{std::move(next)};
  }
  const core::Duration wait =
      probing ? kProbeTimeout
              : kFirstProbeDelay *
                    (1 << std::min(entry.probes, kMaxProbeDoublings));
  if (now - seen.changed < wait) return std::nullopt;
  const auto refusal = refused_.find({entry.service, entry.parts});
  if (refusal == refused_.end() || refusal->second.at < seen.changed) {
    return std::nullopt;
  }
  schema::Quarantine next = internal::NextGeneration(entry);
  next.prober = refusal->second.host;
  next.prober_incarnation = refusal->second.incarnation;
  return schema::PutQuarantine{std::move(next)};
}

std::optional<Change> Detector::ReviewEntry(
    const schema::QuarantineTable& table, const schema::Quarantine& entry,
    core::Instant now) const {
  const Seen& seen = seen_.at({entry.service, entry.parts});
  core::Instant last_crash{};
  for (const Crash& crash : crashes_) {
    if (crash.report.service != entry.service ||
        !Includes(crash.report.parts, entry.parts)) {
      continue;
    }
    last_crash = std::max(last_crash, crash.at);
    const bool covered = Covers(entry, entry.service, crash.report.workspace,
                                crash.report.parts);
    if (covered) continue;
    schema::Quarantine wider = internal::NextGeneration(entry);
    wider.workspaces.clear();
    return schema::PutQuarantine{std::move(wider)};
  }
  if (last_crash == core::Instant{}) last_crash = seen.first;
  if (auto change = ReviewAnswers(table, entry, last_crash)) return change;
  return ReviewProbe(entry, seen, last_crash, now);
}

std::vector<const Detector::Crash*> Detector::Unexplained(
    const schema::QuarantineTable& table) const {
  const auto explained = [&table](const Crash& crash) {
    return std::any_of(table.entries.begin(), table.entries.end(),
                       [&crash](const schema::Quarantine& entry) {
                         return entry.service == crash.report.service &&
                                Includes(crash.report.parts, entry.parts);
                       });
  };
  // A request that began at the same moment on the same upstream is no cause.
  std::set<Incarnation> upstreams;
  for (const Crash& crash : crashes_) {
    if (explained(crash)) upstreams.insert(crash.upstream());
  }
  std::vector<const Crash*> unexplained;
  for (const Crash& crash : crashes_) {
    if (!upstreams.contains(crash.upstream())) unexplained.push_back(&crash);
  }
  return unexplained;
}

std::optional<Change> Detector::Extend(const schema::QuarantineTable& table,
                                       const Crash& crash) {
  for (const schema::Quarantine& entry : table.entries) {
    if (!Includes(crash.report.parts, entry.parts)) continue;
    if (internal::IsQuarantined(table, crash.report.service, entry.parts)) {
      continue;
    }
    schema::Quarantine extended = entry;
    extended.service = crash.report.service;
    extended.generation = 1;
    extended.crashes = 1;
    extended.probes = 0;
    extended.prober = core::HostId();
    extended.prober_incarnation = 0;
    if (!Covers(entry, entry.service, crash.report.workspace,
                crash.report.parts)) {
      extended.workspaces.clear();
    }
    return schema::PutQuarantine{std::move(extended)};
  }
  return std::nullopt;
}

std::size_t Detector::Suspect::Moments() const {
  std::set<core::Instant> times;
  for (const Crash* crash : crashes) times.insert(crash->at);
  std::size_t moments = 0;
  std::optional<core::Instant> last;
  for (const core::Instant time : times) {
    if (!last || time - *last >= kSameMoment) {
      ++moments;
      last = time;
    }
  }
  return moments;
}

core::Instant Detector::Suspect::WatchedSince() const {
  std::map<Incarnation, core::Instant> received;
  for (const Crash* crash : crashes) {
    const auto [found, inserted] =
        received.try_emplace(crash->upstream(), crash->received);
    if (!inserted) found->second = std::min(found->second, crash->received);
  }
  std::vector<core::Instant> times;
  times.reserve(received.size());
  for (const auto& [upstream, time] : received) times.push_back(time);
  std::sort(times.begin(), times.end());
  return IsRequest(part) && times.size() > 1 ? times[1] : times.front();
}

bool Detector::Suspect::Convicted() const {
  if (upstreams.size() < kMinCrashes) return false;
  const std::size_t moments = Moments();
  if (moments >= kMinCrashes) return true;
  if (answered) return false;
  if (!begun) return IsRequest(part) || moments >= internal::kMinMoments;
  return moments >= internal::kMinMoments &&
         upstreams.size() >= 2 * kMinCrashes;
}

std::map<core::PromptPartId, Detector::Suspect> Detector::FindSuspects(
    const std::vector<const Crash*>& crashes,
    const core::ServiceId& service) const {
  std::map<core::PromptPartId, Suspect> suspects;
  for (const Crash* crash : crashes) {
    if (crash->report.service != service) continue;
    for (const core::PromptPartId& part : crash->report.parts) {
      const auto answer = LastAnswer(service, part);
      const bool begun = HadBegun(crash->report);
      if (answer && (begun || *answer >= crash->at)) continue;
      Suspect& suspect = suspects[part];
      suspect.part = part;
      suspect.answered = answer.has_value();
      suspect.begun = suspect.begun || begun;
      suspect.upstreams.insert(crash->upstream());
      suspect.workspaces.insert(crash->report.workspace);
      suspect.crashes.insert(crash);
    }
  }
  return suspects;
}

std::optional<Change> Detector::Quarantine(
    const core::ServiceId& service,
    const std::map<core::PromptPartId, Suspect>& suspects,
    core::Duration settle, core::Instant now) {
  // Of two parts in the same crashes, the one in fewer requests is the more
  // specific: the other one also occurs in requests that ran beside it.
  const auto less = [](const Suspect& a, const Suspect& b) {
    return std::make_tuple(!a.answered, a.upstreams.size(), b.crashes.size()) <
           std::make_tuple(!b.answered, b.upstreams.size(), a.crashes.size());
  };
  const Suspect* first = nullptr;
  for (const auto& [part, suspect] : suspects) {
    if (!suspect.Convicted()) continue;
    if (first == nullptr || less(*first, suspect)) first = &suspect;
  }
  if (first == nullptr) return std::nullopt;
  if (now - first->WatchedSince() < settle) {
    pending_ = true;
    return std::nullopt;
  }
  schema::Quarantine quarantine;
  quarantine.service = service;
  quarantine.generation = 1;
  quarantine.crashes = static_cast<std::uint32_t>(first->upstreams.size());
  for (const auto& [part, suspect] : suspects) {
    const bool together = suspect.answered == first->answered &&
                          suspect.crashes == first->crashes;
    if (together && quarantine.parts.size() < internal::kMaxQuarantinedParts) {
      quarantine.parts.push_back(part);
    }
  }
  if (first->workspaces.size() == 1) {
    quarantine.workspaces.assign(first->workspaces.begin(),
                                 first->workspaces.end());
  }
  return schema::PutQuarantine{std::move(quarantine)};
}

std::optional<Change> Detector::QuarantineRepeats(
    const schema::QuarantineTable& table, core::Duration settle,
    core::Instant now) {
  std::vector<const Crash*> crashes;
  std::set<core::ServiceId> services;
  for (const Crash& crash : crashes_) {
    crashes.push_back(&crash);
    services.insert(crash.report.service);
  }
  std::set<PartKey> quarantined;
  for (const schema::Quarantine& entry : table.entries) {
    for (const core::PromptPartId& part : entry.parts) {
      quarantined.emplace(entry.service, part);
    }
  }
  for (const core::ServiceId& service : services) {
    auto suspects = FindSuspects(crashes, service);
    std::erase_if(suspects, [&](const auto& item) {
      return item.second.answered || !IsRequest(item.first) ||
             quarantined.contains({service, item.first});
    });
    if (auto change = Quarantine(service, suspects, settle, now)) return change;
  }
  return std::nullopt;
}

std::optional<Change> Detector::Review(const schema::QuarantineTable& table,
                                       core::Duration settle,
                                       core::Instant now) {
  Forget(table, now);
  for (const schema::Quarantine& entry : table.entries) {
    if (auto change = ReviewEntry(table, entry, now)) return change;
  }
  if (table.version != reviewed_version_) pending_ = true;
  reviewed_version_ = table.version;
  if (!std::exchange(pending_, false)) return std::nullopt;
  const std::vector<const Crash*> unexplained = Unexplained(table);
  std::set<core::ServiceId> services;
  std::optional<Change> change;
  for (const Crash* crash : unexplained) {
    change = Extend(table, *crash);
    if (change) break;
    services.insert(crash->report.service);
  }
  for (const core::ServiceId& service : services) {
    if (change) break;
    change =
        Quarantine(service, FindSuspects(unexplained, service), settle, now);
  }
  if (!change) change = QuarantineRepeats(table, settle, now);
  // On a host that does not lead, or if the change is not committed, it is due
  // again.
  if (change) pending_ = true;
  return change;
}

}  // namespace foxquay::quarantine
