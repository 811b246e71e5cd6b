#ifndef FOXQUAY_DAEMON_CONTROL_DISK_H_
#define FOXQUAY_DAEMON_CONTROL_DISK_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <variant>

#include "foxquay/consensus/action.h"
#include "foxquay/consensus/replica.h"
#include "foxquay/core/error.h"
#include "foxquay/core/id.h"
#include "foxquay/storage/store.h"

namespace foxquay::daemon {

/// Writes a replica's records and snapshots on a thread of its own, so that a
/// slow sync does not hold up heartbeats.
///
/// Writes that fail for want of room are repeated until there is some; until
/// then nothing is acknowledged, so that the replica neither votes nor confirms
/// entries. A snapshot that only shortens the log is skipped instead. Any other
/// failed write aborts the process, because nothing may be acknowledged after
/// it.
class ControlDisk {
 public:
  /// `folder` is the path of the data folder of `host`. `persisted` is called
  /// on the disk thread after each sync, with the newest write ID that it
  /// covers.
  ControlDisk(core::HostId host, std::string folder,
              std::function<void(consensus::WriteId)> persisted);
  ~ControlDisk();
  ControlDisk(const ControlDisk&) = delete;
  ControlDisk& operator=(const ControlDisk&) = delete;

  /// Opens the data folder, returns the recovered state and starts the disk
  /// thread. Logs each finding of a damaged folder.
  [[nodiscard]] core::Result<consensus::PersistentState> Recover();

  /// Returns the ID of the replica to which the data folder belongs.
  ///
  /// Precondition: Recover succeeded.
  [[nodiscard]] const schema::ReplicaId& replica() const noexcept {
    return replica_;
  }

  /// Queues a write. Thread-safe.
  void Persist(consensus::Persist&& action);
  /// Queues a write. Thread-safe.
  void SaveSnapshot(consensus::SaveSnapshot&& action);

  /// Returns whether writes wait for room on the disk. Thread-safe.
  [[nodiscard]] bool full() const noexcept { return full_; }

  /// Completes the queued writes and stops the disk thread. Writes that wait
  /// for room are given up.
  void Stop();

 private:
  using Write = std::variant<consensus::Persist, consensus::SaveSnapshot>;

  void Enqueue(Write write);
  void Run();
  /// Writes `writes` and returns the ID of the last one; nothing if the disk is
  /// full until the end.
  [[nodiscard]] std::optional<consensus::WriteId> WriteAndSync(
      const std::deque<Write>& writes);
  /// Saves a snapshot once there is room for it, or skips it if earlier writes
  /// hold all of it; returns false if the disk is full until the end.
  [[nodiscard]] bool WriteOrSkip(const consensus::SaveSnapshot& snapshot);
  /// Handles a failed write; returns whether to repeat it.
  [[nodiscard]] bool AwaitRoom(std::error_code error);

  core::HostId host_;
  std::string folder_;
  std::function<void(consensus::WriteId)> persisted_;
  std::optional<storage::Store> store_;
  schema::ReplicaId replica_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Write> queue_;
  bool stopping_ = false;
  std::atomic<bool> full_{false};
  std::thread thread_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_DISK_H_
