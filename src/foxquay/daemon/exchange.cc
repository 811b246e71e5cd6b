#include "foxquay/daemon/exchange.h"

#include <chrono>
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
  taken_.reset();
}

bool Exchange::Deliver(dispatch::DeliverToken&& token) {
  const std::lock_guard lock(mutex_);
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
  taken_.reset();
  news_.wait(lock, [this] {
    return !progress_.tokens.empty() || progress_.finish || progress_.abandoned;
  });
  waiting_bytes_ = 0;
  Progress progress = std::move(progress_);
  progress_ = Progress{};
  progress_.abandoned = progress.abandoned;
  taken_ = std::chrono::steady_clock::now();
  return progress;
}

bool Exchange::StalledSince(core::Instant since) const {
  const std::lock_guard lock(mutex_);
  return taken_ && *taken_ < since;
}

}  // namespace foxquay::daemon
