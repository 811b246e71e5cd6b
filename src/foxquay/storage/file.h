#ifndef FOXQUAY_STORAGE_FILE_H_
#define FOXQUAY_STORAGE_FILE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>
#include <utility>

#include "foxquay/core/error.h"

namespace foxquay::storage {

/// An open file; closed on destruction.
class File {
 public:
  File() = default;
  ~File();
  File(File&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  File& operator=(File&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  /// Opens a file for appending; `create` makes a new, empty one.
  [[nodiscard]] static core::Result<File> Open(
      const std::filesystem::path& path, bool create);

  /// Writes all bytes at the end.
  [[nodiscard]] std::error_code Append(const std::string& bytes) const;
  /// Waits until everything written is on disk.
  [[nodiscard]] std::error_code Sync() const;
  /// Cuts the file to a size and waits until that is on disk.
  [[nodiscard]] std::error_code Truncate(std::uint64_t size) const;
  /// Locks the file against other processes until it is closed.
  [[nodiscard]] std::error_code Lock() const;

 private:
  explicit File(int descriptor) : descriptor_(descriptor) {}

  int descriptor_ = -1;
};

/// Reads a whole file.
[[nodiscard]] core::Result<std::string> ReadFile(
    const std::filesystem::path& path);

/// Waits until the names in a folder are on disk.
[[nodiscard]] std::error_code SyncFolder(const std::filesystem::path& folder);

/// Writes a file under a temporary name, syncs it, renames it and syncs its
/// folder, so that it exists either completely or not at all.
[[nodiscard]] std::error_code WriteAtomic(const std::filesystem::path& path,
                                          const std::string& bytes);

/// Suffix of files that are not complete yet; removed at start.
inline constexpr const char* kTemporarySuffix = ".tmp";

}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_FILE_H_
