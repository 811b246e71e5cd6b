#ifndef FOXQUAY_DAEMON_WORKER_POOL_H_
#define FOXQUAY_DAEMON_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace foxquay::daemon {

/// Unbounded thread pool for blocking jobs: every job has a thread of its own,
/// idle threads are reused. Thread-safe.
class WorkerPool {
 public:
  WorkerPool() = default;
  /// Blocks until all jobs have ended.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Starts a job without waiting for others. If no thread can be started, the
  /// job runs as soon as one is free.
  void Run(std::function<void()> job);

 private:
  void RunJobs();

  std::mutex mutex_;
  std::condition_variable job_available_;
  std::condition_variable all_ended_;
  std::deque<std::function<void()>> jobs_;
  std::size_t idle_ = 0;
  std::size_t threads_ = 0;
  bool stopping_ = false;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_WORKER_POOL_H_
