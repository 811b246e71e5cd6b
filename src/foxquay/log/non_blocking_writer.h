#ifndef FOXQUAY_LOG_NON_BLOCKING_WRITER_H_
#define FOXQUAY_LOG_NON_BLOCKING_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace foxquay::log {

/// Bytes of lines that wait for a reader; later lines are counted and dropped.
inline constexpr std::size_t kMaxPendingBytes = std::size_t{256} << 10U;

/// Writes lines to a descriptor without ever waiting for its reader.
///
/// Not thread-safe.
class NonBlockingWriter {
 public:
  /// Makes the descriptor non-blocking; it must stay open.
  explicit NonBlockingWriter(int descriptor);

  /// Writes a line, keeps it for later, or drops it. The number of dropped
  /// lines is written as an event of its own once there is room.
  void Write(const std::string& line);

  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 private:
  void Flush();

  int descriptor_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
};

}  // namespace foxquay::log

#endif  // FOXQUAY_LOG_NON_BLOCKING_WRITER_H_
