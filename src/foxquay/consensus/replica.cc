#include "foxquay/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "foxquay/consensus/error.h"
#include "foxquay/consensus/quorum.h"
#include "foxquay/consensus/state.h"

namespace foxquay::consensus {
namespace {

/// Election timeouts for which a leader that holds an entry that the others
/// cannot read is no candidate.
constexpr int kAbstainElections = 5;

}  // namespace

Replica::Replica(Options options, PersistentState persistent_state,
                 core::Instant now)
    : state_(std::make_unique<State>(std::move(options),
                                     std::move(persistent_state), now)) {}
Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;

std::vector<Action> Replica::Handle(const Event& event, core::Instant now) {
  return state_->Handle(event, now);
}
core::Instant Replica::NextDeadline() const noexcept {
  return state_->NextDeadline();
}
std::size_t Replica::MaxCommandBytes() const {
  return state_->MaxCommandBytes();
}
bool Replica::MayStop() const { return state_->MayStop(); }
Role Replica::role() const noexcept { return state_->role(); }
Term Replica::term() const noexcept { return state_->term(); }
std::optional<schema::ReplicaId> Replica::leader() const {
  return state_->leader();
}
const schema::Configuration& Replica::configuration() const noexcept {
  return state_->log().configuration();
}
Index Replica::commit() const noexcept { return state_->commit(); }
Index Replica::applied() const noexcept { return state_->applied(); }
std::size_t Replica::log_bytes() const noexcept {
  return state_->log().bytes();
}
bool Replica::HoldsLease(core::Instant now) const {
  return state_->HoldsLease(now);
}
std::optional<core::Instant> Replica::FreshAsOf() const noexcept {
  return state_->fresh_as_of();
}

Replica::State::State(Options options, PersistentState persistent_state,
                      core::Instant now)
    : options_(std::move(options)),
      random_(options_.seed),
      session_(random_()),
      now_(now),
      term_(persistent_state.term),
      vote_(std::move(persistent_state.vote)),
      snapshot_(std::move(persistent_state.snapshot)),
      log_(snapshot_.meta, std::move(persistent_state.entries)),
      writes_(log_.last()),
      commit_(snapshot_.meta.index),
      role_(RoleFromConfiguration()),
      // A voter may have acknowledged a lease just before it restarted, so it
      // counts as in contact and ignores vote requests for min_election.
      last_contact_(now),
      started_at_(now) {
  ResetElectionDeadline();
  FindStandIn();
}

core::Instant Replica::State::NextDeadline() const noexcept {
  const core::Instant deadline =
      role_ == Role::kLeader ? heartbeat_deadline_ : election_deadline_;
  return retiring_ ? std::min(deadline, next_leave_request_) : deadline;
}

std::vector<Action> Replica::State::Handle(const Event& event,
                                           core::Instant now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  CheckTimers();
  AdvanceCommit();
  CompleteChange();
  ApplyCommitted();
  AdvanceFreshness();
  PersistChanges();
  ReleasePendingSends();
  ReportChanges();
  return std::exchange(actions_, {});
}

void Replica::State::On(const Received& event) {
  const auto& header = std::visit(
      [](const auto& message) -> const schema::MessageHeader& {
        return message.header;
      },
      event.message);
  const schema::ReplicaId& self = options_.self;
  if (header.to.host != self.host || header.from == self) return;
  // A message to another incarnation concerns a replica whose disk was lost.
  const bool any = header.to.incarnation == 0;
  if (!any && header.to.incarnation != self.incarnation) return;
  std::visit([this](const auto& message) { On(message); }, event.message);
}

void Replica::State::On(const Tick& /*event*/) {}

void Replica::State::On(const Propose& event) {
  std::error_code error;
  if (role_ != Role::kLeader) {
    error = Error::kNotLeader;
  } else if (event.payload.size() > MaxCommandBytes()) {
    error = Error::kTooLarge;
  } else if (open_proposals_.size() >= options_.limits.max_open_proposals) {
    error = Error::kBusy;
  }
  if (error) {
    actions_.emplace_back(ProposalDecided{event.id, 0, error});
    return;
  }
  AppendEntry(schema::EntryKind::kCommand, event.payload, event.wall);
  open_proposals_.emplace(log_.last(), event.id);
  ReplicateToAll(false);
}

void Replica::State::On(const Persisted& event) {
  const Index compact_to = writes_.Finish(event.write_id);
  CompactBefore(compact_to);
  if (role_ == Role::kCandidate) CountVotes();
}

void Replica::State::CompactBefore(Index snapshot) {
  const Limits& limits = options_.limits;
  Index index = snapshot;
  std::size_t bytes = 0;
  while (index > log_.base() && snapshot - index < limits.trailing_entries) {
    bytes += log_.At(index).payload.size();
    if (bytes > limits.trailing_bytes) break;
    --index;
  }
  log_.Compact(index);
}

void Replica::State::On(const SnapshotTaken& event) {
  if (event.index > applied_ || event.index <= snapshot_.meta.index) return;
  schema::SnapshotMeta meta;
  meta.index = event.index;
  meta.term = log_.TermAt(event.index).value_or(0);
  meta.wall = log_.WallAt(event.index);
  meta.configuration = log_.ConfigurationAt(event.index);
  meta.size = event.data.size();
  snapshot_ = {std::move(meta), event.data};
  snapshot_requested_ = false;
  applied_bytes_ = 0;
  largest_applied_ = 0;
  SaveCurrentSnapshot(true);
}

void Replica::State::CheckTimers() {
  RequestLeave();
  if (role_ == Role::kLeader) {
    const core::Instant acked =
        std::max(QuorumAckTime(now_).value_or(leading_since_), leading_since_);
    // Without a vote if its process has restarted while the vote was moving.
    const bool voteless =
        !retiring_ && !IsVoter(options_.self) && !IsChangingVoters();
    if (voteless || now_ - acked > options_.timing.max_election) {
      StepDown(term_, std::nullopt);
    } else if (HoldsUnreadableEntry()) {
      // The others elect one of them, whose log replaces the entry.
      abstain_until_ = now_ + kAbstainElections * options_.timing.max_election;
      StepDown(term_, std::nullopt);
    } else if (now_ >= heartbeat_deadline_) {
      heartbeat_deadline_ = now_ + options_.timing.heartbeat;
      UpdateMembership();
      ReplicateToAll(true);
    }
    return;
  }
  if (now_ < election_deadline_) return;
  ResetElectionDeadline();
  if (role_ != Role::kLearner && now_ >= abstain_until_) Campaign(true);
  // A voter without a leader may have been replaced during a network
  // partition, so it asks to join as well.
  RequestJoin();
}

void Replica::State::AppendEntry(schema::EntryKind kind, std::string payload,
                                 core::WallTime wall) {
  wall = std::max(wall, log_.WallAt(log_.last()));
  log_.Append({term_, kind, wall, std::move(payload)});
  writes_.MarkEntriesChanged(log_.last(), false);
}

void Replica::State::ApplyCommitted() {
  const schema::SnapshotMeta& meta = snapshot_.meta;
  if (applied_ < meta.index) {
    if (writes_.durable_index() < meta.index) return;
    applied_ = meta.index;
    applied_bytes_ = 0;
    largest_applied_ = 0;
    actions_.emplace_back(Restore{meta.index, meta.wall, snapshot_.data});
  }
  // A quorum has these entries on disk; this replica's own write may be slow.
  while (applied_ < commit_) {
    ++applied_;
    const std::size_t bytes = log_.At(applied_).payload.size();
    applied_bytes_ += bytes;
    largest_applied_ = std::max(largest_applied_, bytes);
    ApplyEntry(log_.At(applied_));
  }
  const Index entries_since_snapshot =
      applied_ - std::min(applied_, meta.index);
  // Builds that cannot read a large entry can read the snapshot that holds it.
  const bool large = largest_applied_ > options_.limits.basic_payload_bytes;
  const bool due =
      large || entries_since_snapshot >= options_.limits.snapshot_entries ||
      applied_bytes_ >= (TransfersSnapshot() ? options_.limits.transfer_bytes
                                             : options_.limits.snapshot_bytes);
  if (due && !snapshot_requested_) {
    snapshot_requested_ = true;
    actions_.emplace_back(TakeSnapshot{});
  }
}

void Replica::State::ApplyEntry(const schema::LogEntry& entry) {
  if (entry.kind != schema::EntryKind::kCommand) return;
  actions_.emplace_back(Apply{applied_, entry.wall, entry.payload});
  const auto open = open_proposals_.find(applied_);
  if (open == open_proposals_.end()) return;
  actions_.emplace_back(ProposalDecided{open->second, applied_, {}});
  open_proposals_.erase(open);
}

void Replica::State::AdvanceFreshness() {
  if (role_ == Role::kLeader && HasCommittedInTerm()) {
    const auto at = QuorumAckTime(now_);
    const bool later = freshness_.empty() || !at || freshness_.back().at < *at;
    if (at && later) freshness_.push_back({*at, commit_});
  }
  while (!freshness_.empty() && freshness_.front().commit <= applied_) {
    fresh_as_of_ = std::max(fresh_as_of_.value_or(freshness_.front().at),
                            freshness_.front().at);
    freshness_.pop_front();
  }
  constexpr std::size_t kMaxFreshnessPoints = 64;
  if (freshness_.size() > kMaxFreshnessPoints) freshness_.pop_front();
}

void Replica::State::PersistChanges() {
  if (!writes_.changed()) return;
  schema::LogRecord record;
  record.term = term_;
  record.vote = vote_;
  record.first = writes_.first_changed().value_or(log_.last() + 1);
  for (Index index = record.first; index <= log_.last(); ++index) {
    record.entries.push_back(log_.At(index));
  }
  const WriteId write_id = writes_.Begin(log_.last());
  actions_.emplace_back(Persist{write_id, std::move(record)});
}

void Replica::State::ReleasePendingSends() {
  const WriteId finished = writes_.finished();
  std::deque<PendingSend> still_pending;
  for (PendingSend& pending : pending_sends_) {
    if (pending.write_id <= finished) {
      actions_.emplace_back(std::move(pending.send));
    } else {
      still_pending.push_back(std::move(pending));
    }
  }
  pending_sends_ = std::move(still_pending);
}

void Replica::State::ReportChanges() {
  if (leader_ != reported_leader_ || term_ != reported_term_) {
    reported_leader_ = leader_;
    reported_term_ = term_;
    actions_.emplace_back(LeaderChanged{leader_, term_});
  }
  if (log_.configuration() != reported_members_) {
    reported_members_ = log_.configuration();
    actions_.emplace_back(MembersChanged{reported_members_});
    FindStandIn();
    if (role_ == Role::kLearner || role_ == Role::kFollower) {
      role_ = RoleFromConfiguration();
    }
  }
}

void Replica::State::SendAfterWrite(schema::ConsensusMessage message,
                                    WriteId write_id) {
  core::HostId to = std::visit(
      [](const auto& typed) { return typed.header.to.host; }, message);
  pending_sends_.push_back({write_id, {std::move(to), std::move(message)}});
}

schema::MessageHeader Replica::State::Header(
    const schema::ReplicaId& to) const {
  return {options_.self, to, term_};
}

bool Replica::State::IsVoter(const schema::ReplicaId& id) const {
  return internal::ContainsVoter(log_.configuration(), id);
}

bool Replica::State::IsNew() const noexcept {
  return log_.configuration().voters.empty();
}

}  // namespace foxquay::consensus
