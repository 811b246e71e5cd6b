#ifndef FOXQUAY_DAEMON_CONTROL_DISK_H_
#define FOXQUAY_DAEMON_CONTROL_DISK_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include "foxquay/consensus/action.h"
#include "foxquay/consensus/replica.h"
#include "foxquay/core/error.h"

namespace foxquay::daemon {

/// Writes a replica's records and snapshots on a thread of its own, so that a
/// slow sync does not hold up heartbeats.
class ControlDisk {
 public:
  /// `persisted` is called on the disk thread after each sync with the newest
  /// ticket that it covers.
  ControlDisk(std::string folder,
              std::function<void(consensus::Ticket)> persisted);
  ~ControlDisk();
  ControlDisk(const ControlDisk&) = delete;
  ControlDisk& operator=(const ControlDisk&) = delete;

  /// Opens the data folder, returns what it holds and starts the thread.
  [[nodiscard]] core::Result<consensus::Durable> Recover();

  /// Returns the incarnation drawn when the data folder was created.
  ///
  /// Precondition: Recover succeeded.
  [[nodiscard]] std::uint64_t incarnation() const noexcept;

  /// Queues a write. Thread-safe.
  void Persist(consensus::Persist&& action);
  void SaveSnapshot(consensus::SaveSnapshot&& action);

  /// Ends the thread after the queued writes.
  void Stop();

 private:
  using Write = std::variant<consensus::Persist, consensus::SaveSnapshot>;
  class Folder;

  void Enqueue(Write write);
  void Run();

  std::string path_;
  std::function<void(consensus::Ticket)> persisted_;
  std::unique_ptr<Folder> folder_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Write> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_DISK_H_
