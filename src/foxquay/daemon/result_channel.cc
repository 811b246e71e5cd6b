#include "foxquay/daemon/result_channel.h"

#include <chrono>
#include <utility>

namespace foxquay::daemon {
namespace internal {

/// Limit of the unread tokens of one request, in bytes.
constexpr std::size_t kMaxBufferedBytes = 262144;

}  // namespace internal

void ResultChannel::Wake() { available_.notify_one(); }

void ResultChannel::Reset() {
  const std::lock_guard lock(mutex_);
  progress_ = Progress{};
  buffered_bytes_ = 0;
  last_read_.reset();
}

bool ResultChannel::Deliver(dispatch::DeliverToken&& token) {
  const std::lock_guard lock(mutex_);
  buffered_bytes_ += token.text.size() + sizeof(token);
  progress_.tokens.push_back(std::move(token));
  return buffered_bytes_ <= internal::kMaxBufferedBytes;
}

void ResultChannel::SetReply(http::ServiceReply&& reply) {
  const std::lock_guard lock(mutex_);
  progress_.reply = std::move(reply);
}

void ResultChannel::Finish(dispatch::Finish&& finish) {
  const std::lock_guard lock(mutex_);
  progress_.finish = std::move(finish);
}

void ResultChannel::Abandon() {
  const std::lock_guard lock(mutex_);
  progress_.abandoned = true;
}

Progress ResultChannel::Await() {
  std::unique_lock lock(mutex_);
  last_read_.reset();
  available_.wait(lock, [this] {
    return !progress_.tokens.empty() || progress_.finish || progress_.abandoned;
  });
  buffered_bytes_ = 0;
  Progress progress = std::move(progress_);
  progress_ = Progress{};
  progress_.abandoned = progress.abandoned;
  last_read_ = std::chrono::steady_clock::now();
  return progress;
}

bool ResultChannel::StalledSince(core::Instant since) const {
  const std::lock_guard lock(mutex_);
  return last_read_ && *last_read_ < since;
}

}  // namespace foxquay::daemon
