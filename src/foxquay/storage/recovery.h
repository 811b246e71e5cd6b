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

/// Contents of a data folder at start.
struct Recovered {
  schema::ReplicaId self;  ///< Replica that the folder belongs to.
  bool created = false;    ///< The folder was new and has been initialized.
  /// State from which the replica continues.
  consensus::PersistentState persistent_state;
  std::uint64_t discarded_bytes = 0;  ///< Size of an incomplete last write.
};

namespace internal {

/// Files of a data folder: log segments by number, snapshots by index.
struct FileList {
  std::map<std::uint64_t, std::filesystem::path> segments;
  std::map<std::uint64_t, std::filesystem::path> snapshots;
};

/// Position in the log at which writing continues.
struct WritePosition {
  std::uint64_t segment = 0;       ///< Number of the log segment.
  std::uint64_t offset = 0;        ///< Size of the segment in bytes.
  bool needs_new_segment = false;  ///< The segment continues an older snapshot.
};

[[nodiscard]] std::filesystem::path SegmentPath(
    const std::filesystem::path& folder, std::uint64_t number);
[[nodiscard]] std::filesystem::path SnapshotPath(
    const std::filesystem::path& folder, std::uint64_t index);
[[nodiscard]] FileList ListFiles(const std::filesystem::path& folder);

/// Reads a data folder, or initializes a new one. Used once.
class Recovery {
 public:
  /// Reports damage to `findings`, which must outlive this object.
  Recovery(std::filesystem::path folder, core::HostId host,
           core::Findings& findings);

  /// Returns the contents of the folder; Error::kCorrupt if it is damaged or
  /// belongs to another host. Truncates an incomplete last write.
  [[nodiscard]] core::Result<Recovered> Run();
  /// Returns where to continue the log. Precondition: Run succeeded.
  [[nodiscard]] const WritePosition& position() const noexcept {
    return position_;
  }

 private:
  [[nodiscard]] std::error_code Initialize();
  [[nodiscard]] bool NeverInitialized() const;
  [[nodiscard]] std::error_code ReadIdentity();
  [[nodiscard]] std::error_code ReadSnapshot();
  [[nodiscard]] std::error_code ReadLog();
  /// Appends the entries of an encoded LogRecord to the recovered state.
  [[nodiscard]] std::error_code Replay(const std::string& payload);
  /// Removes the entries that the snapshot includes or contradicts.
  void DropCoveredEntries();
  /// Adds a finding with `reason` and the remedy; returns Error::kCorrupt.
  [[nodiscard]] std::error_code ReportDamage(const std::filesystem::path& file,
                                             const std::string& reason);

  std::filesystem::path folder_;
  core::HostId host_;
  core::Findings& findings_;
  FileList files_;
  Recovered recovered_;
  WritePosition position_;
  std::uint64_t base_ = 0;  ///< Index before the first entry of the segment.
};

}  // namespace internal
}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_RECOVERY_H_
