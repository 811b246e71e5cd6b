#include "foxquay/daemon/exchange.h"

#include <utility>

namespace foxquay::daemon {
namespace internal {

constexpr std::size_t kMaxWaitingBytes = 262144;

}  // namespace internal

void Exchange::Wake() { news_.notify_one(); }

void Exchange::Reset() {
  const std::lock_guard lock(mutex_);
  progress_ = Progress{};
  waiting_bytes_ = 0;
}

bool Exchange::Deliver(dispatch::DeliverToken&& token, core::Instant now) {
  const std::lock_guard lock(mutex_);
  if (progress_.tokens.empty()) oldest_ = now;
  waiting_bytes_ += token.text.size() + sizeof(token);
  progress_.tokens.push_back(std::move(token));
  return waiting_bytes_ <= internal::kMaxWaitingBytes;
}

void Exchange::Keep(http::ServiceReply&& reply) {
  const std::lock_guard lock(mutex_);
  progress_.reply = std::move(reply);
}

void Exchange::Finish(dispatch::Finish&& finish) {
  const std::lock_guard lock(mutex_);
  progress_.finish = std::move(finish);
}

void Exchange::Abandon() {
  const std::lock_guard lock(mutex_);
  progress_.abandoned = true;
}

Progress Exchange::Await() {
  std::unique_lock lock(mutex_);
  news_.wait(lock, [this] {
    return !progress_.tokens.empty() || progress_.finish || progress_.abandoned;
  });
  waiting_bytes_ = 0;
  Progress progress = std::move(progress_);
  progress_ = Progress{};
  progress_.abandoned = progress.abandoned;
  return progress;
}

bool Exchange::WaitingSince(core::Instant since) const {
  const std::lock_guard lock(mutex_);
  return !progress_.tokens.empty() && oldest_ < since;
}

}  // namespace foxquay::daemon
