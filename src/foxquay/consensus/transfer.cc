// Saving snapshots, sending them in chunks and installing received ones.
#include <algorithm>
#include <utility>

#include "foxquay/consensus/state.h"

namespace foxquay::consensus {

void Replica::State::SendSnapshotChunk(const schema::ReplicaId& id,
                                       internal::Progress& progress) {
  if (progress.transfer_index != snapshot_.meta.index) {
    progress.transfer_index = snapshot_.meta.index;
    progress.transfer_offset = 0;
  }
  schema::SnapshotChunk chunk;
  chunk.header = Header(id);
  chunk.meta = snapshot_.meta;
  chunk.offset = progress.transfer_offset;
  chunk.data = snapshot_.data.substr(progress.transfer_offset,
                                     options_.limits.max_chunk_bytes);
  chunk.sent = now_.time_since_epoch();
  chunk.sequence = ++sequence_;
  progress.in_flight = chunk.sequence;
  progress.in_flight_since = now_;
  SendAfterWrite(std::move(chunk), writes_.vote_write());
}

bool Replica::State::TransfersSnapshot() const {
  return std::any_of(
      progress_.begin(), progress_.end(), [this](const auto& item) {
        const internal::Progress& progress = item.second;
        return progress.transfer_index == snapshot_.meta.index &&
               progress.transfer_offset > 0 &&
               progress.match < snapshot_.meta.index &&
               now_ - progress.alive_at < options_.timing.max_election;
      });
}

void Replica::State::On(const schema::SnapshotChunk& chunk) {
  const schema::SnapshotMeta& meta = chunk.meta;
  if (!AcceptLeader(chunk.header)) {
    ReplyToAppend(chunk.header, chunk.sequence, chunk.sent, false, 0);
    return;
  }
  if (!IsNew() && meta.index <= commit_) {
    ReplyToAppend(chunk.header, chunk.sequence, chunk.sent, true, meta.index);
    return;
  }
  if (meta.size > options_.limits.max_snapshot_bytes) return;
  if (!transfer_ || transfer_->meta != meta) transfer_ = Transfer{meta, {}};
  if (chunk.offset == transfer_->data.size()) transfer_->data += chunk.data;
  if (transfer_->data.size() >= meta.size) {
    InstallSnapshot();
    ReplyToAppend(chunk.header, chunk.sequence, chunk.sent, true, meta.index);
    return;
  }
  schema::SnapshotReply reply;
  reply.header = Header(chunk.header.from);
  reply.index = meta.index;
  reply.offset = transfer_->data.size();
  reply.sent = chunk.sent;
  reply.sequence = chunk.sequence;
  SendAfterWrite(reply, writes_.vote_write());
}

void Replica::State::On(const schema::SnapshotReply& reply) {
  internal::Progress* progress =
      RecordReply(reply.header, reply.header.term, reply.sent);
  if (progress == nullptr || !progress->TakeAnswer(reply.sequence)) return;
  const bool current = reply.index == progress->transfer_index &&
                       reply.offset <= snapshot_.data.size();
  progress->transfer_offset = current ? reply.offset : 0;
  Replicate(reply.header.from, *progress, false);
}

void Replica::State::InstallSnapshot() {
  snapshot_ = {std::move(transfer_->meta), std::move(transfer_->data)};
  transfer_.reset();
  snapshot_requested_ = false;
  const schema::SnapshotMeta& meta = snapshot_.meta;
  const bool log_matches = !IsNew() && log_.TermAt(meta.index) == meta.term;
  if (log_matches) {
    log_.Compact(meta.index);
  } else {
    log_ = internal::Log(meta, {});
    writes_.MarkLogReplaced();
  }
  commit_ = std::max(commit_, meta.index);
  SaveCurrentSnapshot();
}

void Replica::State::SaveCurrentSnapshot(bool covered) {
  SaveSnapshot save;
  save.covered = covered;
  save.snapshot = snapshot_;
  save.log = LogRecordsAfter(snapshot_.meta.index);
  save.write_id = writes_.Begin(log_.last(), snapshot_.meta.index);
  actions_.emplace_back(std::move(save));
}

std::vector<schema::LogRecord> Replica::State::LogRecordsAfter(
    Index index) const {
  std::vector<schema::LogRecord> records;
  std::size_t bytes = 0;
  records.push_back({term_, vote_, index + 1, {}});
  while (++index <= log_.last()) {
    const schema::LogEntry& entry = log_.At(index);
    const bool full =
        bytes > options_.limits.max_append_bytes ||
        records.back().entries.size() >= options_.limits.max_append_entries;
    if (full) {
      records.push_back({term_, vote_, index, {}});
      bytes = 0;
    }
    records.back().entries.push_back(entry);
    bytes += entry.payload.size();
  }
  return records;
}

}  // namespace foxquay::consensus
