#ifndef FOXQUAY_DAEMON_TURN_QUEUE_H_
#define FOXQUAY_DAEMON_TURN_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>

namespace foxquay::daemon {

/// Runs tasks in order, one in each turn of an event loop, so that handlers of
/// messages that have arrived meanwhile run between them.
///
/// Used by the thread that runs the event loop; must outlive it.
class TurnQueue {
 public:
  using Task = std::function<void()>;

  explicit TurnQueue(boost::asio::io_context& context) : context_(context) {}
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  /// Adds a task; returns false if too many wait, and drops it.
  bool Add(Task task);

 private:
  void RunNext();

  boost::asio::io_context& context_;
  std::deque<Task> tasks_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_TURN_QUEUE_H_
