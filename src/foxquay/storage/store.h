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

/// Writes of one replica under one data folder: an identity, the latest
/// snapshot and the log behind it.
///
/// Not thread-safe. After an error nothing may be acknowledged any more and the
/// process must end: a failed sync may have lost writes without trace.
class Store {
 public:
  /// Opens or creates a data folder and locks it against other processes.
  ///
  /// Returns Error::kCorrupt if it is damaged before the last write;
  /// `findings` then says where and how to rejoin as a new member.
  [[nodiscard]] static core::Result<Store> Open(
      const std::filesystem::path& folder, const core::HostId& host,
      core::Findings& findings);

  /// Returns what the folder held at start; valid once.
  [[nodiscard]] Recovered TakeRecovered() { return std::move(recovered_); }

  /// Queues a record for the next Sync.
  void Write(const consensus::Persist& persist);
  /// Saves a snapshot with the log behind it and removes older files; on disk
  /// when it returns, together with all queued records.
  [[nodiscard]] std::error_code Write(const consensus::SaveSnapshot& save);
  /// Writes all queued records with one sync.
  ///
  /// Returns the write id to acknowledge with consensus::Persisted: everything
  /// up to it is on disk.
  [[nodiscard]] core::Result<consensus::WriteId> Sync();

 private:
  Store(std::filesystem::path folder, File lock, Recovered recovered)
      : folder_(std::move(folder)),
        lock_(std::move(lock)),
        owner_(recovered.self),
        recovered_(std::move(recovered)) {}

  [[nodiscard]] std::error_code StartSegment(
      std::uint64_t snapshot, const std::vector<schema::LogRecord>& records);
  void RemoveOldFiles(std::uint64_t snapshot) const;

  std::filesystem::path folder_;
  File lock_;
  schema::ReplicaId owner_;
  Recovered recovered_;
  File log_;
  std::uint64_t segment_ = 0;  ///< Number of the log file.
  std::uint64_t offset_ = 0;   ///< Synced size of the log file.
  std::string queued_;
  consensus::WriteId last_write_id_;
};

}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_STORE_H_
