#include "foxquay/storage/store.h"

#include <cassert>
#include <utility>
#include <vector>

#include "foxquay/schema/codec.h"
#include "foxquay/storage/frame.h"

namespace foxquay::storage {
namespace {

void RemoveTemporaryFiles(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> found;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (entry.path().extension() == kTemporarySuffix) {
      found.push_back(entry.path());
    }
  }
  for (const auto& path : found) std::filesystem::remove(path, error);
}

/// Returns the log of a persistent state as records of bounded size.
std::vector<schema::LogRecord> SplitIntoRecords(
    const consensus::PersistentState& persistent_state) {
  constexpr std::size_t kEntriesPerRecord = 1024;
  const std::uint64_t first = persistent_state.snapshot.meta.index + 1;
  std::vector<schema::LogRecord> records{
      {persistent_state.term, persistent_state.vote, first, {}}};
  for (const schema::LogEntry& entry : persistent_state.entries) {
    if (records.back().entries.size() == kEntriesPerRecord) {
      const std::uint64_t next = records.back().first + kEntriesPerRecord;
      records.push_back(
          {persistent_state.term, persistent_state.vote, next, {}});
    }
    records.back().entries.push_back(entry);
  }
  return records;
}

/// Appends a frame to the contents of a file that is synced as a whole. Each
/// frame is a batch of its own, so that the frame after it reveals damage to
/// it.
void AppendAsOwnBatch(std::string& out, const std::string& payload) {
  internal::AppendFrame(out, payload, out.size());
}

}  // namespace

core::Result<Store> Store::Open(const std::filesystem::path& folder,
                                const core::HostId& host,
                                core::Findings& findings) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  auto lock = File::Open(folder / "lock", true);
  error = lock ? lock.value().Lock() : lock.error();
  if (error) {
    findings.push_back({folder.string(), 0, "",
                        "the data folder cannot be locked (" + error.message() +
                            "); another foxquayd may be using it"});
    return error;
  }
  RemoveTemporaryFiles(folder);
  internal::Recovery recovery(folder, host, findings);
  auto recovered = recovery.Run();
  if (!recovered) return recovered.error();
  const internal::WritePosition position = recovery.position();
  Store store(folder, std::move(lock.value()), std::move(recovered.value()));
  store.segment_ = position.segment;
  store.offset_ = position.offset;
  const consensus::PersistentState& persistent_state =
      store.recovered_.persistent_state;
  const std::uint64_t snapshot = persistent_state.snapshot.meta.index;
  if (position.needs_new_segment) {
    error = store.StartSegment(snapshot, SplitIntoRecords(persistent_state));
    if (error) return error;
  } else {
    auto log =
        File::Open(internal::SegmentPath(folder, position.segment), false);
    if (!log) return log.error();
    store.log_ = std::move(log.value());
  }
  store.RemoveOldFiles(snapshot);
  return store;
}

void Store::Write(const consensus::Persist& persist) {
  internal::AppendFrame(queued_, schema::Encode(persist.record), offset_);
  last_write_id_ = persist.write_id;
}

std::error_code Store::Write(const consensus::SaveSnapshot& save) {
  const std::uint64_t index = save.snapshot.meta.index;
  std::string bytes;
  internal::AppendFrame(bytes, schema::Encode(save.snapshot.meta), 0);
  internal::AppendFrame(bytes, save.snapshot.data, 0);
  const auto path = internal::SnapshotPath(folder_, index);
  if (auto error = WriteAtomic(path, bytes)) return error;
  if (auto error = StartSegment(index, save.log)) return error;
  // The snapshot and the log after it include all queued records.
  queued_.clear();
  RemoveOldFiles(index);
  last_write_id_ = save.write_id;
  return {};
}

void Store::Skip(const consensus::SaveSnapshot& save) {
  assert(save.covered && "earlier writes hold all of the snapshot");
  std::error_code error;
  std::filesystem::remove(
      internal::SnapshotPath(folder_, save.snapshot.meta.index), error);
  RemoveTemporaryFiles(folder_);
  schema::LogRecord record = save.log.back();
  record.first += record.entries.size();
  record.entries.clear();
  Write(consensus::Persist{save.write_id, std::move(record)});
}

std::error_code Store::AppendQueued() {
  if (incomplete_) {
    if (auto error = log_.Truncate(offset_)) return error;
  }
  incomplete_ = true;
  if (auto error = log_.Append(queued_)) return error;
  if (auto error = log_.Sync()) return error;
  incomplete_ = false;
  return {};
}

core::Result<consensus::WriteId> Store::Sync() {
  if (queued_.empty()) return last_write_id_;
  if (auto error = AppendQueued()) return error;
  offset_ += queued_.size();
  queued_.clear();
  return last_write_id_;
}

std::error_code Store::StartSegment(
    std::uint64_t snapshot, const std::vector<schema::LogRecord>& records) {
  std::string bytes;
  AppendAsOwnBatch(bytes,
                   schema::Encode(schema::SegmentHeader{owner_, snapshot}));
  for (const schema::LogRecord& record : records) {
    AppendAsOwnBatch(bytes, schema::Encode(record));
  }
  // An empty record at the end of the log reveals damage to the last record.
  schema::LogRecord end = records.back();
  end.first += end.entries.size();
  end.entries.clear();
  AppendAsOwnBatch(bytes, schema::Encode(end));
  const auto path = internal::SegmentPath(folder_, segment_ + 1);
  if (auto error = WriteAtomic(path, bytes)) return error;
  auto log = File::Open(path, false);
  if (!log) return log.error();
  log_ = std::move(log.value());
  ++segment_;
  offset_ = bytes.size();
  incomplete_ = false;
  return {};
}

void Store::RemoveOldFiles(std::uint64_t snapshot) const {
  std::error_code error;
  const internal::FileList files = internal::ListFiles(folder_);
  for (const auto& [number, path] : files.segments) {
    if (number < segment_) std::filesystem::remove(path, error);
  }
  for (const auto& [index, path] : files.snapshots) {
    if (index < snapshot) std::filesystem::remove(path, error);
  }
}

}  // namespace foxquay::storage
