// Membership: a lost voter is replaced by a learner that has caught up, and a
// group smaller than wanted takes one up, one at a time, by joint consensus
// (Ongaro and Ousterhout 2014, section 6). Adding and removing in two single
// steps would leave the group stuck if the new voter, or another one, is lost
// between them.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::consensus {

void Replica::State::ReviewMembers() {
  const schema::Configuration& current = log_.configuration();
  // No change starts before the former one and an entry of this term are
  // committed.
  if (!CommittedInTerm() || log_.configuration_index() > commit_) return;
  if (!current.previous.empty()) {
    ChangeVoters({current.voters, {}});
    return;
  }
  for (const schema::ReplicaId& voter : current.voters) {
    auto successor = Successor(voter);
    if (!successor) continue;
    schema::Configuration joint{current.voters, current.voters};
    std::replace(joint.voters.begin(), joint.voters.end(), voter, *successor);
    ChangeVoters(joint);
    return;
  }
  if (current.voters.size() >= options_.voters) return;
  if (auto learner = ReadyLearner(std::nullopt)) {
    schema::Configuration joint{current.voters, current.voters};
    joint.voters.push_back(*std::move(learner));
    ChangeVoters(joint);
  }
}

std::optional<schema::ReplicaId> Replica::State::Successor(
    const schema::ReplicaId& voter) const {
  // A new incarnation on the host of a silent voter shows that its disk is
  // lost; any other silence must last longer.
  std::optional<schema::ReplicaId> successor;
  if (Silence(voter) > options_.timing.max_election) {
    successor = ReadyLearner(voter.host);
  }
  if (!successor && Silence(voter) > options_.timing.replace_after) {
    successor = ReadyLearner(std::nullopt);
  }
  return successor;
}

core::Duration Replica::State::Silence(const schema::ReplicaId& voter) const {
  const auto found = progress_.find(voter);
  if (found == progress_.end()) return core::Duration::zero();
  return now_ - found->second.heard;
}

bool Replica::State::Ready(const internal::Progress& progress) const {
  constexpr Index kMaxLag = 64;
  return !progress.needs_snapshot &&
         now_ - progress.heard <= options_.timing.max_election &&
         progress.match >= log_.configuration_index() &&
         progress.match + kMaxLag >= log_.last();
}

std::optional<schema::ReplicaId> Replica::State::ReadyLearner(
    const std::optional<core::HostId>& host) const {
  for (const auto& [id, progress] : progress_) {
    if (IsVoter(id) || !Ready(progress)) continue;
    if (!host || id.host == *host) return id;
  }
  return std::nullopt;
}

void Replica::State::ChangeVoters(const schema::Configuration& configuration) {
  AppendEntry(schema::EntryKind::kConfiguration, schema::Encode(configuration),
              {});
}

}  // namespace foxquay::consensus
