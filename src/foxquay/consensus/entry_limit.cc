// Entries that not every build reads.
//
// A leader takes a command only if it and a quorum have stated that they read
// it.
// Other replicas get the snapshot that holds the command, whose parts are
// within the bounds of every build; one is taken as soon as such a command is
// applied.
#include <algorithm>

#include "foxquay/consensus/quorum.h"
#include "foxquay/consensus/state.h"

namespace foxquay::consensus {
namespace {

/// Election timeouts after which an entry that no quorum reads ends the
/// leadership.
constexpr int kStuckElections = 4;

}  // namespace

void Replica::State::SendEntryLimit(const schema::ReplicaId& to) {
  schema::EntryLimit limit;
  limit.header = Header(to);
  limit.session = session_;
  limit.max_payload = options_.limits.max_readable_bytes;
  SendAfterWrite(limit, writes_.vote_write());
}

void Replica::State::On(const schema::EntryLimit& limit) {
  const auto size = static_cast<std::size_t>(limit.max_payload);
  if (role_ != Role::kLeader) {
    if (leader_ != limit.header.from) return;
    limit_leader_ = limit.header.from;
    leader_max_payload_ = size;
    return;
  }
  const auto found = progress_.find(limit.header.from);
  if (found == progress_.end()) return;
  found->second.max_payload = size;
  found->second.limit_session = limit.session;
  SendEntryLimit(limit.header.from);
}

std::size_t Replica::State::ReadableBytes(
    const internal::Progress& progress) const {
  const bool told =
      progress.max_payload &&
      (progress.session == 0 || progress.session == progress.limit_session);
  return told ? *progress.max_payload : options_.limits.basic_payload_bytes;
}

std::size_t Replica::State::QuorumReadableBytes() const {
  return internal::QuorumValue<std::size_t>(
             log_.configuration(),
             [this](const schema::ReplicaId& id) -> std::optional<std::size_t> {
               if (id == options_.self) {
                 return options_.limits.max_readable_bytes;
               }
               const auto found = progress_.find(id);
               if (found == progress_.end() || !IsAlive(found->second)) {
                 return std::nullopt;
               }
               return ReadableBytes(found->second);
             })
      .value_or(0);
}

std::size_t Replica::State::MaxCommandBytes() const {
  const Limits& limits = options_.limits;
  // A leader that is not in touch with a quorum finds out in other ways.
  std::size_t readable = limits.basic_payload_bytes;
  if (role_ == Role::kLeader) {
    readable = std::max(readable, QuorumReadableBytes());
  } else if (leader_ && leader_ == limit_leader_) {
    readable = std::max(readable, leader_max_payload_);
  }
  return std::min(limits.max_payload_bytes, readable);
}

bool Replica::State::LacksUnreadableEntry(
    const internal::Progress& progress) const {
  if (progress.next <= log_.base() || progress.next > log_.last()) return false;
  return log_.At(progress.next).payload.size() > ReadableBytes(progress);
}

bool Replica::State::HoldsUnreadableEntry() const {
  if (commit_ >= log_.last() || commit_ < log_.base()) return false;
  const core::Instant since = std::max(committed_at_, leading_since_);
  const core::Duration limit = kStuckElections * options_.timing.max_election;
  return now_ - since > limit &&
         log_.At(commit_ + 1).payload.size() > QuorumReadableBytes();
}

}  // namespace foxquay::consensus
