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

/// Announces an upstream to every listener in Options::announce, every 600 ms
/// on a thread of its own. Thread-safe.
class Announcer {
 public:
  explicit Announcer(const Options& options);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /// Announces without delay that the upstream takes no new work.
  void AnnounceLeaving();
  /// Adds `difference` to the announced number of running streams.
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

/// Appends lines to a file, flushed at once so that another process can read
/// them. Thread-safe.
class ExecutionLog {
 public:
  /// Writes nothing if `file` is empty.
  explicit ExecutionLog(const std::string& file);
  /// `lines` end with a newline each.
  void Write(const std::string& lines);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Counts tokens or calls and injects the faults of the options once their
/// number is reached. Thread-safe.
class FaultInjector {
 public:
  FaultInjector(const Options& options, Announcer& announcer)
      : options_(options), announcer_(announcer) {}

  /// Must be called before each token or call. May end the process or block for
  /// 24 h.
  void BeforeWork();

 private:
  const Options& options_;
  Announcer& announcer_;
  std::atomic<std::uint32_t> work_count_{0};
};

/// Waits for SIGTERM, then announces that the upstream leaves. SIGTERM must be
/// blocked in all threads.
void AwaitSigterm(Announcer& announcer);
/// Blocks SIGTERM for this thread and those it starts; ignores SIGPIPE.
void BlockSigterm();

}  // namespace foxquay::fakes

#endif  // FOXQUAY_TESTS_FAKES_ANNOUNCER_H_
