#ifndef FOXQUAY_LOG_NON_BLOCKING_WRITER_H_
#define FOXQUAY_LOG_NON_BLOCKING_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace foxquay::log {

/// Bytes queued for a slow reader; further lines are dropped and counted.
inline constexpr std::size_t kMaxPendingBytes = std::size_t{256} << 10U;

/// Writes lines to a file descriptor without blocking on its reader.
///
/// Not thread-safe.
class NonBlockingWriter {
 public:
  /// Makes the descriptor non-blocking. It must stay open while this exists.
  explicit NonBlockingWriter(int descriptor);

  /// Writes or queues a line, which ends with a line feed, or drops it if the
  /// queue is full. Once there is room again, an event log_lines_dropped states
  /// the number of lines dropped since the last such event.
  void Write(const std::string& line);

  /// Returns the number of lines dropped so far.
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
