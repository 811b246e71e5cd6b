// Elections with pre-vote (Ongaro, "Consensus: Bridging Theory and Practice",
// 2014, 4.2.3 and 9.6).
#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

#include "foxquay/consensus/error.h"
#include "foxquay/consensus/quorum.h"
#include "foxquay/consensus/state.h"

namespace foxquay::consensus {

void Replica::State::ResetElectionDeadline() {
  const Timing& timing = options_.timing;
  std::uniform_int_distribution<core::Duration::rep> timeout(
      timing.min_election.count(), timing.max_election.count());
  election_deadline_ = now_ + core::Duration(timeout(random_));
}

bool Replica::State::HasRecentLeaderContact() const {
  core::Instant at = last_contact_;
  if (role_ == Role::kLeader) at = QuorumAckTime(now_).value_or(last_contact_);
  return now_ < at + options_.timing.min_election;
}

Role Replica::State::RoleFromConfiguration() const {
  return IsVoter(options_.self) ? Role::kFollower : Role::kLearner;
}

void Replica::State::StepDown(Term term,
                              std::optional<schema::ReplicaId> leader) {
  if (term > term_) {
    term_ = term;
    vote_.reset();
    writes_.MarkVoteChanged();
  }
  if (role_ == Role::kLeader) {
    for (const auto& [index, id] : open_proposals_) {
      actions_.emplace_back(ProposalDecided{id, 0, Error::kResultUnknown});
    }
    open_proposals_.clear();
    progress_.clear();
    ResetElectionDeadline();
  }
  role_ = RoleFromConfiguration();
  leader_ = std::move(leader);
}

void Replica::State::Campaign(bool pre) {
  role_ = pre ? Role::kPreCandidate : Role::kCandidate;
  leader_.reset();
  votes_.clear();
  if (!pre) {
    ++term_;
    vote_ = options_.self;
    writes_.MarkVoteChanged();
  }
  schema::VoteRequest request;
  request.pre = pre;
  request.last_index = log_.last();
  request.last_term = log_.TermAt(log_.last()).value_or(0);
  for (const auto& voter : internal::AllVoters(log_.configuration())) {
    if (voter == options_.self) continue;
    request.header = Header(voter);
    if (pre) ++request.header.term;
    SendAfterWrite(request, writes_.vote_write());
  }
  CountVotes();
}

void Replica::State::CountVotes() {
  const bool own_counts = role_ == Role::kPreCandidate ||
                          writes_.vote_write() <= writes_.finished();
  if (own_counts) votes_.insert(options_.self);
  const bool won =
      internal::QuorumValue<int>(log_.configuration(),
                                 [this](const schema::ReplicaId& id) {
                                   return votes_.contains(id) ? std::optional(1)
                                                              : std::nullopt;
                                 })
          .has_value();
  if (!won) return;
  if (role_ == Role::kPreCandidate) {
    Campaign(false);
  } else {
    BecomeLeader();
  }
}

void Replica::State::BecomeLeader() {
  role_ = Role::kLeader;
  leader_ = options_.self;
  leading_since_ = now_;
  heartbeat_deadline_ = now_ + options_.timing.heartbeat;
  progress_.clear();
  for (const auto& voter : internal::AllVoters(log_.configuration())) {
    if (voter == options_.self) continue;
    internal::Progress& progress = progress_[voter];
    progress.next = log_.last() + 1;
    progress.alive_at = now_;
    // The silence of a former leader began before its successor was elected.
    if (voter == last_leader_) {
      const Timing& timing = options_.timing;
      progress.alive_at = std::max(
          last_contact_, now_ - (timing.replace_after - timing.min_election));
    }
  }
  AppendEntry(schema::EntryKind::kNoop, "", {});
  term_start_ = log_.last();
  AdmitJoiners();
  ReplicateToAll(true);
}

bool Replica::State::IsUpToDate(const schema::VoteRequest& request) const {
  const Term last_term = log_.TermAt(log_.last()).value_or(0);
  return std::tuple(request.last_term, request.last_index) >=
         std::tuple(last_term, log_.last());
}

void Replica::State::On(const schema::VoteRequest& request) {
  const Term term = request.header.term;
  // A voter in contact with a leader ignores elections: the leader's lease
  // relies on it.
  const bool contact = HasRecentLeaderContact();
  if (!request.pre && term >= term_ && contact) return;
  if (!request.pre && term > term_) StepDown(term, std::nullopt);
  bool granted = IsUpToDate(request) && !contact;
  if (request.pre) {
    granted = granted && term > term_;
  } else {
    granted =
        granted && term == term_ && (!vote_ || *vote_ == request.header.from);
  }
  if (granted && !request.pre) {
    if (!vote_) writes_.MarkVoteChanged();
    vote_ = request.header.from;
    ResetElectionDeadline();
  }
  schema::VoteReply reply;
  reply.header = Header(request.header.from);
  if (request.pre && granted) reply.header.term = term;
  reply.pre = request.pre;
  reply.granted = granted;
  SendAfterWrite(reply, writes_.vote_write());
}

void Replica::State::On(const schema::VoteReply& reply) {
  const Term term = reply.header.term;
  const bool granted_pre = reply.pre && reply.granted;
  if (!granted_pre && term > term_) {
    StepDown(term, std::nullopt);
    return;
  }
  const Role expected = reply.pre ? Role::kPreCandidate : Role::kCandidate;
  const Term request_term = reply.pre ? term_ + 1 : term_;
  if (role_ != expected || !reply.granted || term != request_term) return;
  votes_.insert(reply.header.from);
  CountVotes();
}

}  // namespace foxquay::consensus
