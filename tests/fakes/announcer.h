#ifndef FOXQUAY_TESTS_FAKES_ANNOUNCER_H_
#define FOXQUAY_TESTS_FAKES_ANNOUNCER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

#include "fakes/options.h"

namespace foxquay::fakes {

/// Announces an upstream to all its listeners every 600 ms.
class Announcer {
 public:
  explicit Announcer(const Options& options);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /// Announces at once that the upstream takes no new work.
  void AnnounceLeaving();
  /// Changes the number of running streams that is announced.
  void AddLoad(int difference) { load_.fetch_add(difference); }
  [[nodiscard]] bool leaving() const { return leaving_.load(); }

 private:
  void Run();
  void Send();
  [[nodiscard]] std::string AnnouncementBody();

  const Options& options_;
  std::uint64_t sequence_;
  std::atomic<int> load_{0};
  std::atomic<bool> leaving_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  bool announce_now_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

/// Appends lines to a file so that another process sees each at once.
/// Thread-safe.
class ExecutionLog {
 public:
  explicit ExecutionLog(const std::string& file);
  void Write(const std::string& lines);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Counts work and carries out the faults that the options ask for.
class FaultInjector {
 public:
  FaultInjector(const Options& options, Announcer& announcer)
      : options_(options), announcer_(announcer) {}

  /// Called before each token or call; may crash or never return.
  void BeforeWork();

 private:
  const Options& options_;
  Announcer& announcer_;
  std::atomic<std::uint32_t> work_count_{0};
};

/// Serves until SIGTERM, then leaves and returns. SIGTERM must be blocked.
void AwaitSigterm(Announcer& announcer);
/// Blocks SIGTERM for this thread and those it starts.
void BlockSigterm();

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_ANNOUNCER_H_
