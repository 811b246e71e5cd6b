#ifndef FOXQUAY_STORAGE_FRAME_H_
#define FOXQUAY_STORAGE_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxquay::storage::internal {

/// Appends a record with length and CRC to `out`.
///
/// `batch` is the file offset at which the write that contains the record
/// begins; everything before it had been synced.
void AppendFrame(std::string& out, std::string_view payload,
                 std::uint64_t batch);

/// Records of a file, as far as they are whole.
struct Frames {
  std::vector<std::string> payloads;
  std::uint64_t valid_end = 0;  ///< Offset behind the last whole record.
  /// Whether a record was damaged after it had been synced; otherwise what
  /// follows `end` is a write that a crash interrupted.
  bool damaged = false;
};

/// Reads the records of a file.
[[nodiscard]] Frames ParseFrames(std::string_view bytes);

}  // namespace foxquay::storage::internal

#endif  // FOXQUAY_STORAGE_FRAME_H_
