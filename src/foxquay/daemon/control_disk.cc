#include "foxquay/daemon/control_disk.h"

#include <utility>

namespace foxquay::daemon {

class ControlDisk::Folder {};

ControlDisk::ControlDisk(std::string folder,
                         std::function<void(consensus::Ticket)> persisted)
    : path_(std::move(folder)), persisted_(std::move(persisted)) {}

ControlDisk::~ControlDisk() { Stop(); }

core::Result<consensus::Durable> ControlDisk::Recover() {
  thread_ = std::thread([this] { Run(); });
  return consensus::Durable();
}

std::uint64_t ControlDisk::incarnation() const noexcept { return 1; }

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
    std::deque<Write> writes = std::exchange(queue_, {});
    lock.unlock();
    const consensus::Ticket newest = std::visit(
        [](const auto& write) { return write.ticket; }, writes.back());
    persisted_(newest);
    lock.lock();
  }
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
