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

/// Results of a request since the last call of ResultChannel::Await.
struct Progress {
  std::vector<dispatch::DeliverToken> tokens;
  std::optional<dispatch::Finish> finish;
  /// Answer of a service that ran for this request; unset if the answer was
  /// recorded by an earlier request with the same key.
  std::optional<http::ServiceReply> reply;
  bool abandoned = false;  ///< The caller has disconnected; nothing follows.
};

/// Passes the results of one request to the thread that serves its caller.
/// Thread-safe.
///
/// Deliver, Finish and Abandon do not wake that thread: a wake-up takes several
/// times as long as a decision of the engine. Call Wake after all other locks
/// are released.
class ResultChannel {
 public:
  /// Wakes the thread that is blocked in Await.
  void Wake();
  /// Clears the channel for the next request. Precondition: no thread is in
  /// Await.
  void Reset();

  /// Appends a token; returns false if more than 256 KiB are buffered, i.e. the
  /// caller reads too slowly. The token is stored in either case.
  [[nodiscard]] bool Deliver(dispatch::DeliverToken&& token);
  /// Stores the answer of a service; delivered together with Finish.
  void SetReply(http::ServiceReply&& reply);
  /// Ends the request with its final result.
  void Finish(dispatch::Finish&& finish);
  /// Ends the request without a result because its caller has disconnected.
  void Abandon();

  /// Blocks until there are tokens, a final result or an abandonment, and
  /// removes and returns them.
  [[nodiscard]] Progress Await();

  /// Returns whether the caller's thread left Await before `since` and has not
  /// called it again, i.e. is still writing to its connection.
  [[nodiscard]] bool StalledSince(core::Instant since) const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable available_;
  Progress progress_;
  std::size_t buffered_bytes_ = 0;
  std::optional<core::Instant>
      last_read_;  ///< When Await last returned; unset while in it.
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_RESULT_CHANNEL_H_
