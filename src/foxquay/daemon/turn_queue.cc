#include "foxquay/daemon/turn_queue.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace foxquay::daemon {
namespace internal {

/// Bound on the tasks that wait: several for each host of a large cluster.
constexpr std::size_t kMaxWaiting = 4096;

}  // namespace internal

bool TurnQueue::Add(Task task) {
  if (tasks_.size() >= internal::kMaxWaiting) return false;
  tasks_.push_back(std::move(task));
  if (tasks_.size() == 1) boost::asio::post(context_, [this] { RunNext(); });
  return true;
}

void TurnQueue::RunNext() {
  const Task task = std::move(tasks_.front());
  task();
  tasks_.pop_front();
  if (!tasks_.empty()) boost::asio::post(context_, [this] { RunNext(); });
}

}  // namespace foxquay::daemon
