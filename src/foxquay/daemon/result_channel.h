#ifndef FOXQUAY_DAEMON_RESULT_CHANNEL_H_
#define FOXQUAY_DAEMON_RESULT_CHANNEL_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/dispatch/action.h"
#include "foxquay/http/client.h"

namespace foxquay::daemon {

/// Everything that a caller has to be told since it last asked.
struct Progress {
  std::vector<dispatch::DeliverToken> tokens;
  std::optional<dispatch::Finish> finish;
  std::optional<http::ServiceReply> reply;  ///< Live answer of a service.
  bool abandoned = false;  ///< The caller is gone; nothing follows.
};

/// Hands the results of one request to the thread of its caller. Thread-safe.
///
/// Deliver, Finish and Abandon do not wake that thread: waking costs several
/// times what a decision costs, so Wake is called once no other lock is held.
class ResultChannel {
 public:
  /// Wakes the caller's thread to look for news.
  void Wake();
  /// Prepares for another request. Precondition: no thread is in Await.
  void Reset();

  /// Adds a token; returns false if the caller reads too slowly.
  [[nodiscard]] bool Deliver(dispatch::DeliverToken&& token);
  /// Keeps the answer of a service until Finish.
  void SetReply(http::ServiceReply&& reply);
  /// Ends the request.
  void Finish(dispatch::Finish&& finish);
  /// Ends the request without an answer.
  void Abandon();

  /// Blocks until there is something new and returns it.
  [[nodiscard]] Progress Await();

  /// Returns whether the caller's thread took news before `since` and is still
  /// writing it to its connection.
  [[nodiscard]] bool StalledSince(core::Instant since) const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable available_;
  Progress progress_;
  std::size_t buffered_bytes_ = 0;
  std::optional<core::Instant> last_read_;  ///< Unset while in Await.
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_RESULT_CHANNEL_H_
