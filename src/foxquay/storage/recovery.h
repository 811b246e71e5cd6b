#ifndef FOXQUAY_STORAGE_RECOVERY_H_
#define FOXQUAY_STORAGE_RECOVERY_H_

#include <cstdint>
#include <filesystem>
#include <map>

#include "foxquay/consensus/replica.h"
#include "foxquay/core/error.h"
#include "foxquay/core/finding.h"
#include "foxquay/core/id.h"
#include "foxquay/schema/consensus.h"
#include "foxquay/schema/storage.h"

namespace foxquay::storage {

/// What a data folder held at start.
struct Recovered {
  schema::ReplicaId self;
  bool created = false;  ///< The folder was empty.
  /// State from which the replica continues.
  consensus::PersistentState persistent_state;
  std::uint64_t discarded_bytes = 0;  ///< Size of the incomplete last write.
};

namespace internal {

/// Files of a data folder by number.
struct FileList {
  std::map<std::uint64_t, std::filesystem::path> segments;
  std::map<std::uint64_t, std::filesystem::path> snapshots;
};

/// Where to write next.
struct WritePosition {
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;
  bool needs_new_segment = false;  ///< A newer snapshot than the log's exists.
};

[[nodiscard]] std::filesystem::path SegmentPath(
    const std::filesystem::path& folder, std::uint64_t number);
[[nodiscard]] std::filesystem::path SnapshotPath(
    const std::filesystem::path& folder, std::uint64_t index);
[[nodiscard]] FileList ListFiles(const std::filesystem::path& folder);

/// Reads a data folder, or fills an empty one.
class Recovery {
 public:
  /// Writes what is wrong to `findings`.
  Recovery(std::filesystem::path folder, core::HostId host,
           core::Findings& findings);

  /// Returns what the folder holds; Error::kCorrupt if it is damaged.
  [[nodiscard]] core::Result<Recovered> Run();
  [[nodiscard]] const WritePosition& position() const noexcept {
    return position_;
  }

 private:
  [[nodiscard]] std::error_code Initialize();
  [[nodiscard]] bool NeverInitialized() const;
  [[nodiscard]] std::error_code ReadIdentity();
  [[nodiscard]] std::error_code ReadSnapshot();
  [[nodiscard]] std::error_code ReadLog();
  [[nodiscard]] std::error_code Replay(const std::string& payload);
  void DropCoveredEntries();
  [[nodiscard]] std::error_code ReportDamage(const std::filesystem::path& file,
                                             const std::string& reason);

  std::filesystem::path folder_;
  core::HostId host_;
  core::Findings& findings_;
  FileList files_;
  Recovered recovered_;
  WritePosition position_;
  std::uint64_t base_ = 0;  ///< Index before the first entry of the log file.
};

}  // namespace internal
}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_RECOVERY_H_
