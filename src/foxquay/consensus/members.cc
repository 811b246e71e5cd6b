// Membership: one voter is added or removed at a time (Ongaro 2014, chapter 4).
// A lost voter is replaced by first adding a learner that has caught up, then
// removing the lost one.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"
#include "foxquay/schema/codec.h"

namespace foxquay::consensus {

void Replica::State::ReviewMembers() {
  // A change before the first commit of the term could overlap with one of an
  // earlier leader (Ongaro, raft-dev, 2015).
  const bool settled =
      CommittedInTerm() && log_.configuration_index() <= commit_;
  if (!settled) return;
  if (log_.configuration().voters.size() > options_.founders.size()) {
    ReviewSurplus();
  } else {
    ReviewLost();
  }
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

void Replica::State::ReviewLost() {
  std::vector<schema::ReplicaId> voters = log_.configuration().voters;
  std::optional<schema::ReplicaId> learner;
  if (voters.size() < options_.founders.size()) {
    learner = ReadyLearner(std::nullopt);
  }
  for (const schema::ReplicaId& voter : voters) {
    if (learner) break;
    // A new incarnation on the host of a silent voter shows that its disk is
    // lost; any other silence must last longer.
    if (Silence(voter) > options_.timing.max_election) {
      learner = ReadyLearner(voter.host);
    }
    if (!learner && Silence(voter) > options_.timing.replace_after) {
      learner = ReadyLearner(std::nullopt);
    }
  }
  if (!learner) return;
  voters.push_back(std::move(*learner));
  ChangeVoters(std::move(voters));
}

void Replica::State::ReviewSurplus() {
  std::vector<schema::ReplicaId> voters = log_.configuration().voters;
  const auto most_silent = std::max_element(
      voters.begin(), voters.end(),
      [this](const schema::ReplicaId& left, const schema::ReplicaId& right) {
        return Silence(left) < Silence(right);
      });
  if (Silence(*most_silent) > options_.timing.max_election) {
    voters.erase(most_silent);
  } else if (now_ - members_since_ > options_.timing.replace_after) {
    // The lost voter came back; the newest voter becomes a learner again.
    voters.erase(voters.back() == options_.self ? voters.end() - 2
                                                : voters.end() - 1);
  } else {
    return;
  }
  ChangeVoters(std::move(voters));
}

void Replica::State::ChangeVoters(std::vector<schema::ReplicaId> voters) {
  const schema::Configuration configuration{std::move(voters)};
  AppendEntry(schema::EntryKind::kConfiguration, schema::Encode(configuration),
              {});
  members_since_ = now_;
  std::erase_if(progress_, [this](const auto& item) {
    return !IsVoter(item.first) &&
           now_ - item.second.heard > options_.timing.max_election;
  });
}

}  // namespace foxquay::consensus
