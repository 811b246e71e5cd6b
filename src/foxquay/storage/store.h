#ifndef FOXQUAY_STORAGE_STORE_H_
#define FOXQUAY_STORAGE_STORE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

#include "foxquay/consensus/action.h"
#include "foxquay/consensus/fwd.h"
#include "foxquay/core/error.h"
#include "foxquay/core/finding.h"
#include "foxquay/core/id.h"
#include "foxquay/storage/file.h"
#include "foxquay/storage/recovery.h"

namespace foxquay::storage {

/// Persistent storage of one replica in one data folder: its identity, the
/// latest snapshot and the log after it.
///
/// Not thread-safe. If a write fails for want of room (IsOutOfSpace), the
/// caller acknowledges nothing and repeats it later. After any other error it
/// must acknowledge nothing more and end the process: a failed sync may have
/// lost writes without a trace.
class Store {
 public:
  /// Opens or creates a data folder and locks it against other processes.
  ///
  /// Returns Error::kCorrupt if data that had been synced is damaged or
  /// missing, or if the folder belongs to another host; `findings` then names
  /// the file and explains how to rejoin as a new member. An incomplete last
  /// write is discarded without an error.
  [[nodiscard]] static core::Result<Store> Open(
      const std::filesystem::path& folder, const core::HostId& host,
      core::Findings& findings);

  /// Returns the contents of the folder at start. May be called once.
  [[nodiscard]] Recovered TakeRecovered() { return std::move(recovered_); }

  /// Queues a record for the next Sync.
  void Write(const consensus::Persist& persist);
  /// Saves a snapshot and the log after it, which must include all queued
  /// records, and removes older files. Blocks until the data is on disk. If it
  /// fails, the queued records stay queued.
  [[nodiscard]] std::error_code Write(const consensus::SaveSnapshot& save);
  /// Gives up a snapshot for which there was no room: removes what was written
  /// of it, and queues a record in its place, so that the next Sync confirms
  /// its id. Precondition: `save` is covered by what was written before.
  void Skip(const consensus::SaveSnapshot& save);
  /// Writes all queued records and blocks until they are on disk, with one
  /// sync. If there is no room for them, they stay queued.
  ///
  /// Returns the id of the last write, to be reported with
  /// consensus::Persisted: all writes up to it are on disk.
  [[nodiscard]] core::Result<consensus::WriteId> Sync();

 private:
  Store(std::filesystem::path folder, File lock, Recovered recovered)
      : folder_(std::move(folder)),
        lock_(std::move(lock)),
        owner_(recovered.self),
        recovered_(std::move(recovered)) {}

  /// Writes `records`, the log after the snapshot with index `snapshot`, to a
  /// new segment and continues there.
  [[nodiscard]] std::error_code StartSegment(
      std::uint64_t snapshot, const std::vector<schema::LogRecord>& records);
  void RemoveOldFiles(std::uint64_t snapshot) const;
  /// Appends the queued records to the log and syncs it.
  [[nodiscard]] std::error_code AppendQueued();

  std::filesystem::path folder_;
  File lock_;
  schema::ReplicaId owner_;
  Recovered recovered_;
  File log_;
  std::uint64_t segment_ = 0;  ///< Number of the current log segment.
  std::uint64_t offset_ = 0;   ///< Synced size of that segment.
  std::string queued_;         ///< Frames to be appended by the next Sync.
  bool incomplete_ = false;    ///< The segment may end with a part of them.
  consensus::WriteId last_write_id_;
};

}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_STORE_H_
