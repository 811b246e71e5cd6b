#include "foxquay/log/non_blocking_writer.h"

#include <fcntl.h>
#include <unistd.h>

namespace foxquay::log {

NonBlockingWriter::NonBlockingWriter(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void NonBlockingWriter::Write(const std::string& line) {
  Flush();
  if (pending_.size() + line.size() > kMaxPendingBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_drops_) {
    pending_ += "level=WARN event=log_lines_dropped count=" +
                std::to_string(dropped_ - reported_drops_) + "\n";
    reported_drops_ = dropped_;
  }
  pending_ += line;
  Flush();
}

void NonBlockingWriter::Flush() {
  while (!pending_.empty()) {
    const ssize_t written =
        ::write(descriptor_, pending_.data(), pending_.size());
    // The reader is gone or does not read; the lines stay queued.
    if (written <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace foxquay::log
