// Formation of a new group and admission of learners.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"

namespace foxquay::consensus {
namespace {

/// Upper bound on the replicas that a leader tracks, higher than any group
/// needs. Beyond it a learner that is silent makes room for a new one.
constexpr std::size_t kMaxReplicas = 32;

/// Smallest quorum of a group whose voters are no longer its founders.
constexpr std::size_t kMinMovedQuorum = 2;

}  // namespace

void Replica::State::RequestJoin() {
  schema::JoinRequest request;
  request.fresh = IsNew();
  const auto send_to = [&](const core::HostId& host) {
    if (host == options_.self.host) return;
    request.header = Header({host, 0});
    SendAfterWrite(request, writes_.vote_write());
  };
  std::for_each(options_.founders.begin(), options_.founders.end(), send_to);
  std::for_each(options_.standbys.begin(), options_.standbys.end(), send_to);
  TryFormGroup();
}

void Replica::State::On(const schema::JoinRequest& request) {
  const schema::ReplicaId& joiner = request.header.from;
  schema::JoinReply reply;
  reply.header = Header(joiner);
  reply.fresh = IsNew();
  SendAfterWrite(reply, writes_.latest_write());
  if (role_ != Role::kLeader) {
    ForwardToLeader(request);
    RememberJoiner(request);
    return;
  }
  if (!progress_.contains(joiner)) Admit(joiner, request.fresh);
}

void Replica::State::RememberJoiner(const schema::JoinRequest& request) {
  const schema::ReplicaId& joiner = request.header.from;
  if (joiners_.size() >= kMaxReplicas && !joiners_.contains(joiner.host)) {
    return;
  }
  joiners_[joiner.host] = {joiner, request.fresh, now_};
}

void Replica::State::AdmitJoiners() {
  for (const auto& [host, joiner] : std::exchange(joiners_, {})) {
    const bool recent = now_ - joiner.at <= 2 * options_.timing.max_election;
    if (recent && !progress_.contains(joiner.id)) {
      Admit(joiner.id, joiner.fresh);
    }
  }
}

void Replica::State::Admit(const schema::ReplicaId& joiner, bool fresh) {
  if (progress_.size() >= kMaxReplicas && !ForgetLearner()) return;
  std::erase_if(progress_, [&](const auto& item) {
    return item.first.host == joiner.host && !IsVoter(item.first);
  });
  internal::Progress& progress = progress_[joiner];
  progress.next = log_.last() + 1;
  progress.alive_at = now_;
  progress.joined_at = now_;
  progress.needs_snapshot = fresh;
  Replicate(joiner, progress, false);
}

bool Replica::State::ForgetLearner() {
  auto oldest = progress_.end();
  for (auto item = progress_.begin(); item != progress_.end(); ++item) {
    if (IsVoter(item->first)) continue;
    const bool older = oldest == progress_.end() ||
                       item->second.alive_at < oldest->second.alive_at;
    if (older) oldest = item;
  }
  const bool silent =
      oldest != progress_.end() &&
      now_ - oldest->second.alive_at > options_.timing.max_election;
  if (silent) progress_.erase(oldest);
  return silent;
}

void Replica::State::ForwardToLeader(schema::JoinRequest request) {
  // A request that names an incarnation has been forwarded.
  const bool forwarded = request.header.to.incarnation != 0;
  if (forwarded || !leader_ || leader_->host == request.header.from.host) {
    return;
  }
  request.header.to = *leader_;
  SendAfterWrite(request, writes_.vote_write());
}

void Replica::State::On(const schema::JoinReply& reply) {
  // Replies are addressed to one incarnation, so a founder that lost its disk
  // never counts replies to its former incarnation.
  if (!reply.fresh) group_exists_ = true;
  join_responders_[reply.header.from.host] = reply.header.from;
  TryFormGroup();
}

bool Replica::State::StandbysHaveNoGroup() const {
  const auto& founders = options_.founders;
  std::size_t standbys = 0;
  std::size_t answered = 0;
  for (const core::HostId& host : options_.standbys) {
    if (std::find(founders.begin(), founders.end(), host) != founders.end()) {
      continue;
    }
    ++standbys;
    if (join_responders_.contains(host)) ++answered;
  }
  // A group has no fewer voters than founders, and a single voter that leads
  // does not replace itself.
  const std::size_t quorum = std::max(kMinMovedQuorum, founders.size() / 2 + 1);
  return answered + quorum > standbys;
}

void Replica::State::TryFormGroup() {
  if (!IsNew() || group_exists_ || leader_ || options_.founders.empty()) return;
  const auto& founders = options_.founders;
  const auto first = std::min_element(founders.begin(), founders.end());
  if (*first != options_.self.host || !StandbysHaveNoGroup()) return;
  schema::SnapshotMeta meta;
  for (const core::HostId& founder : founders) {
    const auto found = join_responders_.find(founder);
    if (founder == options_.self.host) {
      meta.configuration.voters.push_back(options_.self);
    } else if (found != join_responders_.end()) {
      meta.configuration.voters.push_back(found->second);
    } else {
      return;
    }
  }
  snapshot_ = {std::move(meta), {}};
  log_ = internal::Log(snapshot_.meta, {});
  role_ = RoleFromConfiguration();
  SaveCurrentSnapshot();
}

}  // namespace foxquay::consensus
