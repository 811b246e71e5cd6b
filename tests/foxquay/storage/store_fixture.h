#ifndef FOXQUAY_TESTS_STORAGE_STORE_FIXTURE_H_
#define FOXQUAY_TESTS_STORAGE_STORE_FIXTURE_H_

#include <cstdlib>
#include <filesystem>
#include <string>

#include "foxquay/consensus/replica.h"
#include "foxquay/core/id.h"

namespace foxquay::storage {

inline const core::HostId kHost("h1");

/// A temporary folder, removed on destruction.
class TempFolder {
 public:
  TempFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "foxquay-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;
  [[nodiscard]] const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

inline bool Equal(const consensus::PersistentState& left,
                  const consensus::PersistentState& right) {
  return left.term == right.term && left.vote == right.vote &&
         left.entries == right.entries &&
         left.snapshot.meta == right.snapshot.meta &&
         left.snapshot.data == right.snapshot.data;
}

}  // namespace foxquay::storage

#endif  // FOXQUAY_TESTS_STORAGE_STORE_FIXTURE_H_
