#ifndef FOXQUAY_DAEMON_CALLER_API_H_
#define FOXQUAY_DAEMON_CALLER_API_H_

#include <functional>
#include <string>
#include <vector>

#include "foxquay/core/time.h"
#include "foxquay/daemon/hooks.h"
#include "foxquay/daemon/traffic.h"
#include "foxquay/http/caller.h"
#include "foxquay/http/server.h"

namespace foxquay::daemon {

/// Serves the routes of the caller listener. Thread-safe.
class CallerApi {
 public:
  /// Returns the answer to `GET /v1/entry` for a caller in the given data
  /// centre; an empty id means that it is unknown.
  using EntryProvider =
      std::function<http::EntryAnswer(const core::DataCentreId&)>;

  /// @param own_address Caller address of this host; left out of the
  /// alternative addresses in refusals.
  /// @param hooks Their `request_ended` is called for malformed requests, which
  /// do not reach Traffic.
  CallerApi(Traffic& traffic, std::string own_address,
            EntryProvider entry_provider, const ControlHooks& hooks);

  [[nodiscard]] std::vector<http::Route> Routes();

 private:
  http::Outgoing AnswerEntry(const http::Incoming& incoming);
  http::Outgoing Complete(const http::Incoming& incoming);
  http::Outgoing CallService(http::Incoming&& incoming);

  http::Outgoing CollectCompletion(const RequestHandle& handle);
  http::Outgoing StreamCompletion(const RequestHandle& handle);
  http::Outgoing CollectServiceReply(const RequestHandle& handle);
  http::Outgoing RenderIncomplete(const Progress& progress);
  http::Outgoing Reject(const http::Problem& problem);
  bool IsStartingUp() const;

  Traffic& traffic_;
  std::string own_address_;
  EntryProvider entry_provider_;
  const ControlHooks& hooks_;
  core::Instant started_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CALLER_API_H_
