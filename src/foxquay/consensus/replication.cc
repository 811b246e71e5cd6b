// Log replication and the quorum's acknowledgement of the leader.
#include <algorithm>
#include <cassert>
#include <utility>

#include "foxquay/consensus/quorum.h"
#include "foxquay/consensus/state.h"

namespace foxquay::consensus {
namespace {

/// Heartbeat intervals without a reply after which a message is sent again for
/// the first time.
constexpr int kResendHeartbeats = 2;

/// Maximum number of times that this is doubled: a busy host takes long for
/// large entries, and copies of them delay it further.
constexpr int kMaxResendDoublings = 2;

/// Copies of a message of which replies are recognized.
constexpr std::size_t kMaxCopies = 16;

/// Makes SendAfterWrite send at once. A leader may send entries before they are
/// on its own disk, because its copy does not count towards the quorum until
/// then.
constexpr WriteId kNoWrite{0};

}  // namespace

void Replica::State::ReplicateToAll(bool heartbeat) {
  for (auto& [id, progress] : progress_) Replicate(id, progress, heartbeat);
}

void Replica::State::Replicate(const schema::ReplicaId& id,
                               internal::Progress& progress, bool heartbeat) {
  const auto resend_timeout =
      options_.timing.heartbeat * kResendHeartbeats *
      (1 << std::min(static_cast<int>(progress.copies.size()),
                     kMaxResendDoublings));
  const bool awaiting_reply =
      progress.in_flight && now_ - progress.in_flight_since < resend_timeout;
  const bool has_entries_to_send =
      progress.next <= log_.last() || progress.match + 1 < progress.next;
  if (progress.in_flight && !awaiting_reply) {
    if (progress.copies.size() >= kMaxCopies) {
      progress.copies.erase(progress.copies.begin());
    }
    progress.copies.push_back(*progress.in_flight);
    progress.in_flight.reset();
  }
  const bool unreadable = LacksUnreadableEntry(progress);
  const bool by_snapshot =
      progress.needs_snapshot || progress.next <= log_.base() ||
      (unreadable && progress.next <= snapshot_.meta.index);
  if (!awaiting_reply && by_snapshot) {
    SendSnapshotChunk(id, progress);
  } else if (!awaiting_reply && has_entries_to_send && !unreadable) {
    SendEntries(id, progress);
    return;
  }
  if (heartbeat) SendHeartbeat(id, progress);
}

schema::AppendRequest Replica::State::MakeAppendRequest(
    const schema::ReplicaId& id, const internal::Progress& progress) {
  schema::AppendRequest request;
  request.header = Header(id);
  request.commit = commit_;
  request.sent = now_.time_since_epoch();
  request.sequence = ++sequence_;
  request.echo_session = progress.session;
  request.echo = progress.stamp;
  const auto acked = QuorumAckTime(now_);
  if (acked && HasCommittedInTerm()) request.age = now_ - *acked;
  return request;
}

void Replica::State::SendEntries(const schema::ReplicaId& id,
                                 internal::Progress& progress) {
  schema::AppendRequest request = MakeAppendRequest(id, progress);
  request.previous_index = progress.next - 1;
  request.previous_term = log_.TermAt(progress.next - 1).value_or(0);
  std::size_t bytes = 0;
  for (Index index = progress.next; index <= log_.last(); ++index) {
    const schema::LogEntry& entry = log_.At(index);
    bytes += entry.payload.size();
    const bool full =
        bytes > options_.limits.max_append_bytes ||
        entry.payload.size() > ReadableBytes(progress) ||
        request.entries.size() >= options_.limits.max_append_entries;
    if (full && !request.entries.empty()) break;
    request.entries.push_back(entry);
  }
  progress.in_flight = request.sequence;
  progress.in_flight_since = now_;
  SendAfterWrite(std::move(request), kNoWrite);
}

void Replica::State::SendHeartbeat(const schema::ReplicaId& id,
                                   const internal::Progress& progress) {
  schema::AppendRequest request = MakeAppendRequest(id, progress);
  // If the matching entry has been compacted, the heartbeat refers to entry 0,
  // which precedes every log, so that a replica far behind accepts it as well.
  const auto term = log_.TermAt(progress.match);
  request.previous_index = term ? progress.match : 0;
  request.previous_term = term.value_or(0);
  SendAfterWrite(std::move(request), kNoWrite);
}

bool Replica::State::HasCommittedInTerm() const {
  return role_ == Role::kLeader && commit_ >= term_start_;
}

void Replica::State::AdvanceCommit() {
  if (role_ != Role::kLeader) return;
  const Index index =
      internal::QuorumValue<Index>(
          log_.configuration(),
          [this](const schema::ReplicaId& id) -> std::optional<Index> {
            const auto found = progress_.find(id);
            return found == progress_.end() ? writes_.durable_index()
                                            : found->second.match;
          })
          .value_or(0);
  if (index <= commit_ || log_.TermAt(index) != term_) return;
  commit_ = index;
  committed_at_ = now_;
  if (commit_ == log_.last()) {
    for (auto& [id, progress] : progress_) {
      if (progress.match == commit_) SendHeartbeat(id, progress);
    }
  }
}

std::optional<core::Instant> Replica::State::QuorumAckTime(
    core::Instant now) const {
  return internal::QuorumValue<core::Instant>(
      log_.configuration(), [&](const schema::ReplicaId& id) {
        const auto found = progress_.find(id);
        return found == progress_.end() ? now : found->second.acked_send_time;
      });
}

bool Replica::State::HoldsLease(core::Instant now) const {
  if (role_ != Role::kLeader) return false;
  const auto acked = QuorumAckTime(now);
  return acked && now < *acked + options_.timing.lease;
}

bool Replica::State::AcceptLeader(const schema::MessageHeader& header) {
  if (header.term < term_) return false;
  StepDown(header.term, header.from);
  last_contact_ = now_;
  last_leader_ = header.from;
  ResetElectionDeadline();
  RequestReturn();
  if (now_ >= next_entry_limit_ || entry_limit_term_ != term_) {
    next_entry_limit_ = now_ + options_.timing.max_election;
    entry_limit_term_ = term_;
    SendEntryLimit(header.from);
  }
  return true;
}

void Replica::State::On(const schema::AppendRequest& request) {
  if (!AcceptLeader(request.header)) {
    ReplyToAppend(request.header, request.sequence, request.sent, false, 0);
    return;
  }
  if (!IsNew()) {
    AppendAndReply(request);
    return;
  }
  schema::AppendReply reply;
  reply.header = Header(request.header.from);
  reply.asked = request.header.term;
  reply.needs_snapshot = true;
  reply.sent = request.sent;
  reply.sequence = request.sequence;
  SendAfterWrite(reply, writes_.vote_write());
}

void Replica::State::AppendAndReply(const schema::AppendRequest& request) {
  const Index previous = request.previous_index;
  const bool compacted = previous < log_.base();
  if (!compacted && log_.TermAt(previous) != request.previous_term) {
    ReplyToAppend(request.header, request.sequence, request.sent, false,
                  RetryHint(previous));
    return;
  }
  StoreEntries(request);
  const Index match = previous + request.entries.size();
  commit_ = std::max(commit_, std::min(request.commit, match));
  RecordFreshness(request);
  ReplyToAppend(request.header, request.sequence, request.sent, true, match);
}

void Replica::State::StoreEntries(const schema::AppendRequest& request) {
  Index index = request.previous_index;
  for (const schema::LogEntry& entry : request.entries) {
    ++index;
    if (index <= log_.base() || log_.TermAt(index) == entry.term) continue;
    const bool truncated = index <= log_.last();
    assert(index > commit_ && "committed entries are never replaced");
    if (truncated) log_.TruncateFrom(index);
    log_.Append(entry);
    writes_.MarkEntriesChanged(index, truncated);
  }
}

Index Replica::State::RetryHint(Index previous) const {
  if (previous > log_.last()) return log_.last();
  Index hint = previous - 1;
  const auto term = log_.TermAt(previous);
  while (hint > commit_ && log_.TermAt(hint) == term) --hint;
  return hint;
}

void Replica::State::RecordFreshness(const schema::AppendRequest& request) {
  if (!request.age || request.echo_session != session_) return;
  // The leader sent this after it received the echoed reply, so it measured
  // `age` at an instant that is not before the stamp of that reply.
  const core::Instant stamp(request.echo);
  freshness_.push_back(
      {stamp - core::WithClockError(*request.age), request.commit});
}

void Replica::State::ReplyToAppend(const schema::MessageHeader& to,
                                   std::uint64_t sequence, core::Duration sent,
                                   bool accepted, Index match) {
  schema::AppendReply reply;
  reply.header = Header(to.from);
  reply.asked = to.term;
  reply.accepted = accepted;
  reply.match = match;
  reply.sent = sent;
  reply.sequence = sequence;
  reply.session = session_;
  reply.stamp = now_.time_since_epoch();
  const bool durable = !accepted || match <= writes_.durable_index();
  SendAfterWrite(reply,
                 durable ? writes_.vote_write() : writes_.latest_write());
}

internal::Progress* Replica::State::RecordReply(
    const schema::MessageHeader& header, Term request_term,
    core::Duration sent) {
  if (header.term > term_) StepDown(header.term, std::nullopt);
  // A late rejection of a request of an earlier term carries the current term,
  // but `sent` may come from the clock of a process that has ended.
  const bool current = header.term == term_ && request_term == term_;
  if (role_ != Role::kLeader || !current) return nullptr;
  const auto found = progress_.find(header.from);
  if (found == progress_.end()) return nullptr;
  internal::Progress& progress = found->second;
  const core::Instant sent_at(sent);
  progress.acked_send_time =
      std::max(progress.acked_send_time.value_or(sent_at), sent_at);
  progress.alive_at = std::max(progress.alive_at, sent_at);
  return &progress;
}

void Replica::State::On(const schema::AppendReply& reply) {
  internal::Progress* progress =
      RecordReply(reply.header, reply.asked, reply.sent);
  if (progress == nullptr) return;
  const bool restarted =
      progress->session != 0 && reply.session != progress->session;
  if (reply.session != progress->session || reply.stamp > progress->stamp) {
    progress->session = reply.session;
    progress->stamp = reply.stamp;
  }
  const bool awaited = progress->TakeAnswer(reply.sequence);
  if (restarted) progress->Abandon();
  if (reply.needs_snapshot) {
    progress->needs_snapshot = progress->match == 0;
  } else if (reply.accepted) {
    progress->match = std::max(progress->match, reply.match);
    progress->next = std::max(progress->next, progress->match + 1);
    if (awaited) {
      progress->next = progress->match + 1;
      progress->needs_snapshot = false;
    }
  } else if (awaited) {
    const Index limit = std::max(progress->match + 1, progress->next - 1);
    progress->next = std::clamp(reply.match + 1, progress->match + 1, limit);
  }
  Replicate(reply.header.from, *progress, false);
}

}  // namespace foxquay::consensus
