// Membership changes by joint consensus (Ongaro and Ousterhout 2014, section
// 6), one at a time: a caught-up learner replaces a lost or leaving voter or,
// if the group has fewer voters than configured, becomes an additional one.
//
// Replacing a voter by an addition followed by a removal would leave the group
// without a quorum if the new voter or another one is lost in between.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::consensus {

Timing MakeTiming(core::Duration catch_up) {
  Timing timing;
  // Half of the time is left for an election, for a learner to join the new
  // leader and for the two entries of the change. A shorter silence than two
  // election timeouts is no evidence of a loss.
  timing.replace_after = std::max(catch_up / 2, 2 * timing.max_election);
  return timing;
}

core::Duration MaxReplacementTime(const Timing& timing) {
  // If the voter led, the others notice after an election timeout and vote; the
  // learners notice at the same time and are admitted by the new leader, or ask
  // it after another timeout. It counts the silence from its last contact with
  // the former one, but waits for min_election after its own election.
  const core::Duration elected = timing.max_election + 2 * timing.heartbeat;
  const core::Duration joined =
      elected + timing.max_election + 2 * timing.heartbeat;
  // The change starts with the next heartbeat; each of its two entries is
  // written by a quorum.
  return std::max(
             {joined, elected + timing.min_election, timing.replace_after}) +
         3 * timing.heartbeat;
}

void Replica::State::UpdateMembership() {
  const schema::Configuration& current = log_.configuration();
  // A change starts only after the previous one and an entry of this term have
  // been committed.
  if (!HasCommittedInTerm() || log_.configuration_index() > commit_) return;
  if (!current.previous.empty()) {
    AppendConfiguration({current.voters, {}});
    return;
  }
  if (ReplaceLostVoter() || ReplaceLeavingVoter()) return;
  if (current.voters.size() < options_.voters) {
    if (auto learner = FindCaughtUpLearner(std::nullopt)) {
      schema::Configuration joint{current.voters, current.voters};
      joint.voters.push_back(*std::move(learner));
      AppendConfiguration(joint);
      return;
    }
  }
  ReturnVote();
}

void Replica::State::CompleteChange() {
  if (role_ != Role::kLeader || log_.configuration().previous.empty()) return;
  if (!HasCommittedInTerm() || log_.configuration_index() > commit_) return;
  UpdateMembership();
  ReplicateToAll(false);
}

bool Replica::State::IsChangingVoters() const {
  return !log_.configuration().previous.empty() ||
         log_.configuration_index() > commit_;
}

void Replica::State::ReplaceVoter(const schema::ReplicaId& from,
                                  const schema::ReplicaId& to) {
  const schema::Configuration& current = log_.configuration();
  schema::Configuration joint{current.voters, current.voters};
  std::replace(joint.voters.begin(), joint.voters.end(), from, to);
  AppendConfiguration(joint);
}

bool Replica::State::ReplaceLostVoter() {
  for (const schema::ReplicaId& voter : log_.configuration().voters) {
    if (const auto replacement = FindReplacement(voter)) {
      ReplaceVoter(voter, *replacement);
      return true;
    }
  }
  return false;
}

bool Replica::State::ReplaceLeavingVoter() {
  if (!MayMoveVotes()) return false;
  for (const schema::ReplicaId& voter : log_.configuration().voters) {
    if (!IsLeaving(voter)) continue;
    const auto replacement = FindCaughtUpLearner(std::nullopt);
    if (!replacement) return false;
    ReplaceVoter(voter, *replacement);
    return true;
  }
  return false;
}

bool Replica::State::MayMoveVotes() const {
  // Founders rely on it that a single voter stays where it is
  // (StandbysHaveNoGroup).
  return log_.configuration().voters.size() > 1;
}

void Replica::State::ReturnVote() {
  for (auto& [id, progress] : progress_) {
    if (!progress.stand_in) continue;
    const schema::ReplicaId stand_in = *progress.stand_in;
    if (IsVoter(id) || !IsVoter(stand_in)) {
      progress.stand_in.reset();
    } else if (stand_in == options_.self) {
      // A leader without a vote would have to be replaced by an election.
      continue;
    } else if (!progress.IsLeaving() && IsCaughtUp(progress)) {
      ReplaceVoter(stand_in, id);
      return;
    }
  }
}

bool Replica::State::IsLeaving(const schema::ReplicaId& id) const {
  if (id == options_.self) return retiring_;
  const auto found = progress_.find(id);
  return found != progress_.end() && found->second.IsLeaving();
}

bool Replica::State::IsMovePending(const schema::ReplicaId& voter) const {
  if (IsChangingVoters()) return true;
  if (!IsVoter(voter) || !MayMoveVotes()) return false;
  // Learners ask a new leader to join within an election timeout.
  const core::Duration settling = 2 * options_.timing.max_election;
  if (!HasCommittedInTerm() || now_ < leading_since_ + settling) return true;
  return std::any_of(
      progress_.begin(), progress_.end(), [this](const auto& item) {
        const auto& [id, progress] = item;
        return !IsVoter(id) && !progress.IsLeaving() && IsAlive(progress);
      });
}

std::optional<schema::ReplicaId> Replica::State::FindReplacement(
    const schema::ReplicaId& voter) const {
  const core::Duration silence = Silence(voter);
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

core::Duration Replica::State::Silence(const schema::ReplicaId& voter) const {
  const auto found = progress_.find(voter);
  if (found == progress_.end()) return core::Duration::zero();
  return now_ - found->second.alive_at;
}

bool Replica::State::IsAlive(const internal::Progress& progress) const {
  return now_ - progress.alive_at <= options_.timing.max_election;
}

bool Replica::State::IsCaughtUp(const internal::Progress& progress) const {
  constexpr Index kMaxLag = 64;
  return !progress.needs_snapshot && IsAlive(progress) &&
         progress.match >= log_.configuration_index() &&
         progress.match + kMaxLag >= log_.last();
}

std::optional<schema::ReplicaId> Replica::State::FindCaughtUpLearner(
    const std::optional<core::HostId>& host) const {
  for (const auto& [id, progress] : progress_) {
    if (IsVoter(id) || progress.IsLeaving() || !IsCaughtUp(progress)) continue;
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
