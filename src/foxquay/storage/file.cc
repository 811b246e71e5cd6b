#include "foxquay/storage/file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <fstream>
#include <sstream>

namespace foxquay::storage {
namespace {

std::error_code LastError() { return {errno, std::generic_category()}; }

std::error_code ToErrorCode(int result) {
  return result == 0 ? std::error_code() : LastError();
}

}  // namespace

File::~File() {
  if (descriptor_ >= 0) close(descriptor_);
}

core::Result<File> File::Open(const std::filesystem::path& path, bool create) {
  constexpr mode_t kMode = 0600;
  const int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
  const int descriptor = open(path.c_str(), flags, kMode);
  if (descriptor < 0) return LastError();
  return File(descriptor);
}

std::error_code File::Append(const std::string& bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        write(descriptor_, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return LastError();
    written += static_cast<std::size_t>(count);
  }
  return {};
}

std::error_code File::Sync() const {
  return ToErrorCode(fdatasync(descriptor_));
}

std::error_code File::Truncate(std::uint64_t size) const {
  if (ftruncate(descriptor_, static_cast<off_t>(size)) != 0) return LastError();
  return ToErrorCode(fsync(descriptor_));
}

std::error_code File::Lock() const {
  return ToErrorCode(flock(descriptor_, LOCK_EX | LOCK_NB));
}

bool IsOutOfSpace(std::error_code error) noexcept {
  return error == std::errc::no_space_on_device ||
         error == std::errc::file_too_large ||
         error == std::error_code(EDQUOT, std::generic_category());
}

core::Result<std::string> ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  // An empty file sets failbit on `out`, not on `in`.
  if (!in) return make_error_code(core::Error::kNotFound);
  return std::move(out).str();
}

std::error_code SyncFolder(const std::filesystem::path& folder) {
  const int descriptor =
      open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return LastError();
  const std::error_code error = ToErrorCode(fsync(descriptor));
  close(descriptor);
  return error;
}

std::error_code WriteAtomic(const std::filesystem::path& path,
                            const std::string& bytes) {
  std::filesystem::path temporary = path;
  temporary += kTemporarySuffix;
  const auto file = File::Open(temporary, true);
  if (!file) return file.error();
  if (auto error = file.value().Truncate(0)) return error;
  if (auto error = file.value().Append(bytes)) return error;
  if (auto error = file.value().Sync()) return error;
  std::error_code error;
  std::filesystem::rename(temporary, path, error);
  if (error) return error;
  return SyncFolder(path.parent_path());
}

}  // namespace foxquay::storage
