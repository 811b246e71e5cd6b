#include "foxquay/daemon/worker_pool.h"

#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

namespace foxquay::daemon {
namespace internal {

/// Time after which an idle thread ends.
constexpr std::chrono::seconds kIdleTimeout{5};

}  // namespace internal

WorkerPool::~WorkerPool() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  job_available_.notify_all();
  all_ended_.wait(lock, [this] { return threads_ == 0; });
}

void WorkerPool::Run(std::function<void()> job) {
  const std::lock_guard lock(mutex_);
  jobs_.push_back(std::move(job));
  if (jobs_.size() <= idle_) {
    job_available_.notify_one();
    return;
  }
  try {
    std::thread([this] { RunJobs(); }).detach();
    ++threads_;
  } catch (const std::system_error&) {
    // No thread could be started, so the job waits until another one ends. If
    // there is no thread at all, requests end at their deadlines.
  }
}

void WorkerPool::RunJobs() {
  std::unique_lock lock(mutex_);
  while (true) {
    if (jobs_.empty()) {
      ++idle_;
      const bool woken = job_available_.wait_for(
          lock, internal::kIdleTimeout,
          [this] { return stopping_ || !jobs_.empty(); });
      --idle_;
      if (!woken || jobs_.empty()) break;
    }
    const std::function<void()> job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
  if (--threads_ == 0) all_ended_.notify_all();
}

}  // namespace foxquay::daemon
