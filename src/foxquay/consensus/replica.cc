#include "foxquay/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "foxquay/consensus/error.h"
#include "foxquay/consensus/quorum.h"
#include "foxquay/consensus/state.h"

namespace foxquay::consensus {

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
bool Replica::HoldsLease(core::Instant now) const {
  return state_->HoldsLease(now);
}
std::optional<core::Instant> Replica::FreshAsOf() const noexcept {
  return state_->confirmed();
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
      role_(IdleRole()),
      // A restarted voter may have confirmed a lease just before its process
      // ended, so it refuses votes for one minimal election timeout.
      heard_(now) {
  ResetElectionDeadline();
}

std::vector<Action> Replica::State::Handle(const Event& event,
                                           core::Instant now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  CheckTimers();
  AdvanceCommit();
  ApplyCommitted();
  AdvanceConfirmation();
  Flush();
  ReleaseHeld();
  ReportChanges();
  return std::exchange(out_, {});
}

void Replica::State::On(const Received& event) {
  const auto& header = std::visit(
      [](const auto& message) -> const schema::MessageHeader& {
        return message.header;
      },
      event.message);
  const schema::ReplicaId& self = options_.self;
  if (header.to.host != self.host || header.from == self) return;
  // A message to an earlier incarnation of this host is for a lost disk.
  const bool any = header.to.incarnation == 0;
  if (!any && header.to.incarnation != self.incarnation) return;
  std::visit([this](const auto& message) { On(message); }, event.message);
}

void Replica::State::On(const Tick& /*event*/) {}

void Replica::State::On(const Propose& event) {
  std::error_code error;
  if (role_ != Role::kLeader) {
    error = Error::kNotLeader;
  } else if (event.payload.size() > options_.limits.max_payload_bytes) {
    error = Error::kTooLarge;
  } else if (open_proposals_.size() >= options_.limits.max_open_proposals) {
    error = Error::kBusy;
  }
  if (error) {
    out_.emplace_back(ProposalDecided{event.id, 0, error});
    return;
  }
  AppendEntry(schema::EntryKind::kCommand, event.payload, event.wall);
  open_proposals_.emplace(log_.last(), event.id);
  Broadcast(false);
}

void Replica::State::On(const Persisted& event) {
  const Index compact_to = writes_.Finish(event.write_id);
  const Index trailing = options_.limits.trailing_entries;
  if (compact_to > trailing) log_.Compact(compact_to - trailing);
  if (role_ == Role::kCandidate) CountVotes();
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
  SaveCurrentSnapshot();
}

void Replica::State::CheckTimers() {
  if (role_ == Role::kLeader) {
    const core::Instant confirmed = std::max(
        QuorumConfirmed(now_).value_or(leading_since_), leading_since_);
    if (now_ - confirmed > options_.timing.max_election) {
      StepDown(term_, std::nullopt);
    } else if (now_ >= heartbeat_deadline_) {
      heartbeat_deadline_ = now_ + options_.timing.heartbeat;
      ReviewMembers();
      Broadcast(true);
    }
    return;
  }
  if (now_ < election_deadline_) return;
  ResetElectionDeadline();
  if (role_ != Role::kLearner) Campaign(true);
  // A voter without a leader may have been replaced while it was cut off.
  RequestJoin();
}

void Replica::State::AppendEntry(schema::EntryKind kind, std::string payload,
                                 core::WallTime wall) {
  wall = std::max(wall, log_.WallAt(log_.last()));
  log_.Append({term_, kind, wall, std::move(payload)});
  writes_.ChangeEntries(log_.last(), false);
}

void Replica::State::ApplyCommitted() {
  const schema::SnapshotMeta& meta = snapshot_.meta;
  if (applied_ < meta.index) {
    if (writes_.durable() < meta.index) return;
    applied_ = meta.index;
    out_.emplace_back(Restore{meta.index, meta.wall, snapshot_.data});
  }
  const Index limit = std::min(commit_, writes_.durable());
  while (applied_ < limit) {
    ++applied_;
    ApplyEntry(log_.At(applied_));
  }
  const Index since = applied_ - std::min(applied_, meta.index);
  if (since >= options_.limits.snapshot_entries && !snapshot_requested_) {
    snapshot_requested_ = true;
    out_.emplace_back(TakeSnapshot{});
  }
}

void Replica::State::ApplyEntry(const schema::LogEntry& entry) {
  if (entry.kind != schema::EntryKind::kCommand) return;
  out_.emplace_back(Apply{applied_, entry.wall, entry.payload});
  const auto open = open_proposals_.find(applied_);
  if (open == open_proposals_.end()) return;
  out_.emplace_back(ProposalDecided{open->second, applied_, {}});
  open_proposals_.erase(open);
}

void Replica::State::AdvanceConfirmation() {
  if (role_ == Role::kLeader && CommittedInTerm()) {
    const auto at = QuorumConfirmed(now_);
    const bool later =
        confirmations_.empty() || !at || confirmations_.back().at < *at;
    if (at && later) confirmations_.push_back({*at, commit_});
  }
  while (!confirmations_.empty() && confirmations_.front().commit <= applied_) {
    confirmed_ = std::max(confirmed_.value_or(confirmations_.front().at),
                          confirmations_.front().at);
    confirmations_.pop_front();
  }
  constexpr std::size_t kMaxConfirmations = 64;
  if (confirmations_.size() > kMaxConfirmations) confirmations_.pop_front();
}

void Replica::State::Flush() {
  if (!writes_.changed()) return;
  schema::LogRecord record;
  record.term = term_;
  record.vote = vote_;
  record.first = writes_.first_changed().value_or(log_.last() + 1);
  for (Index index = record.first; index <= log_.last(); ++index) {
    record.entries.push_back(log_.At(index));
  }
  const WriteId write_id = writes_.Begin(log_.last());
  out_.emplace_back(Persist{write_id, std::move(record)});
}

void Replica::State::ReleaseHeld() {
  const WriteId finished = writes_.finished();
  std::deque<Held> still_held;
  for (Held& held : held_) {
    if (held.write_id <= finished) {
      out_.emplace_back(std::move(held.send));
    } else {
      still_held.push_back(std::move(held));
    }
  }
  held_ = std::move(still_held);
}

void Replica::State::ReportChanges() {
  if (leader_ != reported_leader_ || term_ != reported_term_) {
    reported_leader_ = leader_;
    reported_term_ = term_;
    out_.emplace_back(LeaderChanged{leader_, term_});
  }
  if (log_.configuration() != reported_members_) {
    reported_members_ = log_.configuration();
    out_.emplace_back(MembersChanged{reported_members_});
    if (role_ == Role::kLearner || role_ == Role::kFollower) {
      role_ = IdleRole();
    }
  }
}

void Replica::State::Transmit(schema::ConsensusMessage message, WriteId after) {
  core::HostId to = std::visit(
      [](const auto& typed) { return typed.header.to.host; }, message);
  held_.push_back({after, {std::move(to), std::move(message)}});
}

schema::MessageHeader Replica::State::Header(
    const schema::ReplicaId& to) const {
  return {options_.self, to, term_};
}

bool Replica::State::IsVoter(const schema::ReplicaId& id) const {
  return internal::Contains(log_.configuration(), id);
}

bool Replica::State::Fresh() const noexcept {
  return log_.configuration().voters.empty();
}

}  // namespace foxquay::consensus
