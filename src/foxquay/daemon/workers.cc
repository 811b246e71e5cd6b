#include "foxquay/daemon/workers.h"

#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::seconds kIdleLife{5};

}  // namespace internal

Workers::~Workers() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  work_.notify_all();
  ended_.wait(lock, [this] { return threads_ == 0; });
}

void Workers::Run(std::function<void()> job) {
  const std::lock_guard lock(mutex_);
  jobs_.push_back(std::move(job));
  if (jobs_.size() <= idle_) {
    work_.notify_one();
    return;
  }
  try {
    std::thread([this] { Serve(); }).detach();
    ++threads_;
  } catch (const std::system_error&) {
    // No thread can be started: the job waits until another one ends. Without
    // any thread, requests end at their deadlines.
  }
}

void Workers::Serve() {
  std::unique_lock lock(mutex_);
  while (true) {
    if (jobs_.empty()) {
      ++idle_;
      const bool woken = work_.wait_for(lock, internal::kIdleLife, [this] {
        return stopping_ || !jobs_.empty();
      });
      --idle_;
      if (!woken || jobs_.empty()) break;
    }
    const std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
  if (--threads_ == 0) ended_.notify_all();
}

}  // namespace foxquay::daemon
