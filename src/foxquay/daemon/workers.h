#ifndef FOXQUAY_DAEMON_WORKERS_H_
#define FOXQUAY_DAEMON_WORKERS_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace foxquay::daemon {

/// Runs blocking jobs, each on a thread of its own; idle threads are reused.
/// Thread-safe.
class Workers {
 public:
  Workers() = default;
  /// Waits for all jobs.
  ~Workers();
  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  /// Starts a job at once.
  void Run(std::function<void()> job);

 private:
  void Serve();

  std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable ended_;
  std::deque<std::function<void()>> jobs_;
  std::size_t idle_ = 0;
  std::size_t threads_ = 0;
  bool stopping_ = false;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_WORKERS_H_
