#include "foxquay/log/output.h"

#include <fcntl.h>
#include <unistd.h>

namespace foxquay::log {

Output::Output(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void Output::Write(const std::string& line) {
  Flush();
  if (waiting_.size() + line.size() > kMaxWaitingBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_) {
    waiting_ += "level=WARN event=log_lines_dropped count=" +
                std::to_string(dropped_ - reported_) + "\n";
    reported_ = dropped_;
  }
  waiting_ += line;
  Flush();
}

void Output::Flush() {
  while (!waiting_.empty()) {
    const ssize_t written =
        ::write(descriptor_, waiting_.data(), waiting_.size());
    // A reader that is gone or does not read leaves the lines waiting.
    if (written <= 0) return;
    waiting_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace foxquay::log
