// Membership changes by joint consensus (Ongaro and Ousterhout 2014, section
// 6), one at a time: a caught-up learner replaces a lost voter or, if the group
// has fewer voters than configured, becomes an additional one.
//
// Replacing a voter by an addition followed by a removal would leave the group
// without a quorum if the new voter or another one is lost in between.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::consensus {

void Replica::State::UpdateMembership() {
  const schema::Configuration& current = log_.configuration();
  // A change starts only after the previous one and an entry of this term have
  // been committed.
  if (!HasCommittedInTerm() || log_.configuration_index() > commit_) return;
  if (!current.previous.empty()) {
    AppendConfiguration({current.voters, {}});
    return;
  }
  for (const schema::ReplicaId& voter : current.voters) {
    auto replacement = FindReplacement(voter);
    if (!replacement) continue;
    schema::Configuration joint{current.voters, current.voters};
    std::replace(joint.voters.begin(), joint.voters.end(), voter, *replacement);
    AppendConfiguration(joint);
    return;
  }
  if (current.voters.size() >= options_.voters) return;
  if (auto learner = FindCaughtUpLearner(std::nullopt)) {
    schema::Configuration joint{current.voters, current.voters};
    joint.voters.push_back(*std::move(learner));
    AppendConfiguration(joint);
  }
}

std::optional<schema::ReplicaId> Replica::State::FindReplacement(
    const schema::ReplicaId& voter) const {
  const core::Duration silence = TimeSinceLastReply(voter);
  // If a voter is silent and its host runs a new incarnation, its disk is lost
  // and it is replaced early. Otherwise the voter may only be unreachable.
  const bool silent = silence > options_.timing.max_election;
  std::optional<schema::ReplicaId> replacement;
  if (silent) replacement = FindCaughtUpLearner(voter.host);
  // The new incarnation on a busy host takes long to catch up.
  const bool lost = silent && HasNewIncarnation(voter);
  if (!replacement && (lost || silence > options_.timing.replace_after)) {
    replacement = FindCaughtUpLearner(std::nullopt);
  }
  return replacement;
}

bool Replica::State::HasNewIncarnation(const schema::ReplicaId& voter) const {
  const auto found = progress_.find(voter);
  if (found == progress_.end()) return false;
  // A reply may arrive long after the voter has sent it; the request that it
  // answers shows until when the voter was alive.
  const core::Instant last_answered =
      found->second.acked_send_time.value_or(leading_since_);
  return std::any_of(progress_.begin(), progress_.end(), [&](const auto& item) {
    return item.first.host == voter.host && !IsVoter(item.first) &&
           item.second.joined_at > last_answered;
  });
}

core::Duration Replica::State::TimeSinceLastReply(
    const schema::ReplicaId& voter) const {
  const auto found = progress_.find(voter);
  if (found == progress_.end()) return core::Duration::zero();
  return now_ - found->second.last_reply_at;
}

bool Replica::State::IsCaughtUp(const internal::Progress& progress) const {
  constexpr Index kMaxLag = 64;
  return !progress.needs_snapshot &&
         now_ - progress.last_reply_at <= options_.timing.max_election &&
         progress.match >= log_.configuration_index() &&
         progress.match + kMaxLag >= log_.last();
}

std::optional<schema::ReplicaId> Replica::State::FindCaughtUpLearner(
    const std::optional<core::HostId>& host) const {
  for (const auto& [id, progress] : progress_) {
    if (IsVoter(id) || !IsCaughtUp(progress)) continue;
    if (!host || id.host == *host) return id;
  }
  return std::nullopt;
}

void Replica::State::AppendConfiguration(
    const schema::Configuration& configuration) {
  AppendEntry(schema::EntryKind::kConfiguration, schema::Encode(configuration),
              {});
}

}  // namespace foxquay::consensus
