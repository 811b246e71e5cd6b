#ifndef FOXQUAY_STORAGE_FILE_H_
#define FOXQUAY_STORAGE_FILE_H_

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>
#include <utility>

#include "foxquay/core/error.h"

namespace foxquay::storage {

/// Owns a file descriptor; closes it on destruction.
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

  /// Opens a file for appending; with `create`, creates it if it does not
  /// exist. Returns the system's error on failure.
  [[nodiscard]] static core::Result<File> Open(
      const std::filesystem::path& path, bool create);

  /// Appends all bytes; some may have been written if it fails.
  [[nodiscard]] std::error_code Append(const std::string& bytes) const;
  /// Blocks until all written data is on disk.
  [[nodiscard]] std::error_code Sync() const;
  /// Truncates the file to `size` bytes and blocks until that is on disk.
  [[nodiscard]] std::error_code Truncate(std::uint64_t size) const;
  /// Takes an exclusive advisory lock, held until the file is closed. Fails at
  /// once if another process holds it.
  [[nodiscard]] std::error_code Lock() const;

 private:
  explicit File(int descriptor) : descriptor_(descriptor) {}

  int descriptor_ = -1;
};

/// Returns whether a write failed only for want of room, so that the same write
/// may succeed once there is some. Thread-safe.
[[nodiscard]] bool IsOutOfSpace(std::error_code error) noexcept;

/// Returns the contents of a file; Error::kNotFound if it cannot be read.
[[nodiscard]] core::Result<std::string> ReadFile(
    const std::filesystem::path& path);

/// Blocks until the directory entries of a folder are on disk.
[[nodiscard]] std::error_code SyncFolder(const std::filesystem::path& folder);

/// Writes a file under a temporary name, syncs it, renames it and syncs its
/// folder, so that after a crash it exists either completely or not at all.
[[nodiscard]] std::error_code WriteAtomic(const std::filesystem::path& path,
                                          const std::string& bytes);

/// Suffix of files that are not complete yet; Store::Open removes leftovers.
inline constexpr const char* kTemporarySuffix = ".tmp";

}  // namespace foxquay::storage

#endif  // FOXQUAY_STORAGE_FILE_H_
