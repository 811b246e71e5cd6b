#ifndef FOXQUAY_DAEMON_CONTROL_DISK_H_
#define FOXQUAY_DAEMON_CONTROL_DISK_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
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
/// A write that fails ends the process: nothing may be acknowledged after it.
class ControlDisk {
 public:
  /// `persisted` is called on the disk thread after each sync with the newest
  /// write id that it covers.
  ControlDisk(core::HostId host, std::string folder,
              std::function<void(consensus::WriteId)> persisted);
  ~ControlDisk();
  ControlDisk(const ControlDisk&) = delete;
  ControlDisk& operator=(const ControlDisk&) = delete;

  /// Opens the data folder, returns what it holds and starts the thread; logs
  /// what is wrong with a damaged folder.
  [[nodiscard]] core::Result<consensus::PersistentState> Recover();

  /// Returns the replica that the data folder belongs to.
  ///
  /// Precondition: Recover succeeded.
  [[nodiscard]] const schema::ReplicaId& replica() const noexcept {
    return replica_;
  }

  /// Queues a write. Thread-safe.
  void Persist(consensus::Persist&& action);
  void SaveSnapshot(consensus::SaveSnapshot&& action);

  /// Ends the thread after the queued writes.
  void Stop();

 private:
  using Write = std::variant<consensus::Persist, consensus::SaveSnapshot>;

  void Enqueue(Write write);
  void Run();
  [[nodiscard]] consensus::WriteId WriteAndSync(
      const std::deque<Write>& writes);

  core::HostId host_;
  std::string folder_;
  std::function<void(consensus::WriteId)> persisted_;
  std::optional<storage::Store> store_;
  schema::ReplicaId replica_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Write> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_DISK_H_
