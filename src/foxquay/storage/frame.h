#ifndef FOXQUAY_STORAGE_FRAME_H_
#define FOXQUAY_STORAGE_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxquay::storage::internal {

/// Appends a frame to `out`: a header with length and CRC, then the payload.
///
/// `batch` is the file offset at which the write that contains the frame
/// begins. All data before that offset must have been synced.
void AppendFrame(std::string& out, std::string_view payload,
                 std::uint64_t batch);

/// Leading frames of a file up to the first one that is not intact.
struct Frames {
  std::vector<std::string> payloads;  ///< One per frame.
  std::uint64_t valid_end = 0;        ///< Offset after the last intact frame.
  /// Whether the data at `valid_end` had been synced and was damaged later.
  /// Otherwise the rest of the file is a write that a crash interrupted.
  bool damaged = false;
};

/// Parses the contents of a file.
[[nodiscard]] Frames ParseFrames(std::string_view bytes);

}  // namespace foxquay::storage::internal

#endif  // FOXQUAY_STORAGE_FRAME_H_
