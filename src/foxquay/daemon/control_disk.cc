#include "foxquay/daemon/control_disk.h"

#include <cstdlib>
#include <utility>

#include "foxquay/core/finding.h"
#include "foxquay/core/time.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Interval at which a write is repeated on a full disk.
constexpr core::Duration kRoomCheckInterval = std::chrono::milliseconds(200);

[[noreturn]] void AbortAfterFailedWrite(std::error_code error) {
  log::Write(log::Level::kError, "disk_write_failed",
             {{"error", error.message()},
              {"remedy", "check the disk, then start the host again"}});
  std::abort();
}

}  // namespace internal

ControlDisk::ControlDisk(core::HostId host, std::string folder,
                         std::function<void(consensus::WriteId)> persisted)
    : host_(std::move(host)),
      folder_(std::move(folder)),
      persisted_(std::move(persisted)) {}

ControlDisk::~ControlDisk() { Stop(); }

core::Result<consensus::PersistentState> ControlDisk::Recover() {
  core::Findings findings;
  auto store = storage::Store::Open(folder_, host_, findings);
  for (const core::Finding& finding : findings) {
    log::Write(log::Level::kError, "data_folder_damaged",
               {{"finding", core::Format(finding)}});
  }
  if (!store) return store.error();
  store_.emplace(std::move(store).value());
  storage::Recovered recovered = store_->TakeRecovered();
  replica_ = recovered.self;
  log::Write(log::Level::kInfo, "data_folder_opened",
             {{"folder", folder_},
              {"created", recovered.created},
              {"incarnation", replica_.incarnation},
              {"snapshot", recovered.persistent_state.snapshot.meta.index},
              {"entries", recovered.persistent_state.entries.size()},
              {"discarded_bytes", recovered.discarded_bytes}});
  thread_ = std::thread([this] { Run(); });
  return std::move(recovered.persistent_state);
}

void ControlDisk::Persist(consensus::Persist&& action) {
  Enqueue(std::move(action));
}

void ControlDisk::SaveSnapshot(consensus::SaveSnapshot&& action) {
  Enqueue(std::move(action));
}

void ControlDisk::Enqueue(Write write) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(write));
  }
  wake_.notify_one();
}

void ControlDisk::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (queue_.empty()) return;
    const std::deque<Write> writes = std::exchange(queue_, {});
    lock.unlock();
    const auto write_id = WriteAndSync(writes);
    if (!write_id) return;
    persisted_(*write_id);
    lock.lock();
  }
}

bool ControlDisk::AwaitRoom(std::error_code error) {
  if (!storage::IsOutOfSpace(error)) internal::AbortAfterFailedWrite(error);
  if (!full_.exchange(true)) {
    log::Write(log::Level::kError, "disk_full",
               {{"folder", folder_},
                {"effect", "this replica confirms nothing until there is room"},
                {"remedy", "free space on the disk"}});
  }
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, internal::kRoomCheckInterval,
                 [this] { return stopping_; });
  return !stopping_;
}

bool ControlDisk::WriteOrSkip(const consensus::SaveSnapshot& snapshot) {
  while (const auto error = store_->Write(snapshot)) {
    if (snapshot.covered && storage::IsOutOfSpace(error)) {
      log::Write(log::Level::kWarn, "snapshot_skipped",
                 {{"folder", folder_},
                  {"index", snapshot.snapshot.meta.index},
                  {"bytes", snapshot.snapshot.data.size()},
                  {"effect", "the log grows until a snapshot fits"},
                  {"remedy", "free space on the disk"}});
      store_->Skip(snapshot);
      return true;
    }
    if (!AwaitRoom(error)) return false;
  }
  return true;
}

std::optional<consensus::WriteId> ControlDisk::WriteAndSync(
    const std::deque<Write>& writes) {
  for (const Write& write : writes) {
    if (const auto* record = std::get_if<consensus::Persist>(&write)) {
      store_->Write(*record);
      continue;
    }
    if (!WriteOrSkip(std::get<consensus::SaveSnapshot>(write))) {
      return std::nullopt;
    }
  }
  auto write_id = store_->Sync();
  while (!write_id) {
    if (!AwaitRoom(write_id.error())) return std::nullopt;
    write_id = store_->Sync();
  }
  if (full_.exchange(false)) {
    log::Write(log::Level::kInfo, "disk_has_room", {{"folder", folder_}});
  }
  return write_id.value();
}

void ControlDisk::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

}  // namespace foxquay::daemon
