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
  /// Answers `GET /v1/entry` for callers in a data centre.
  using EntryProvider =
      std::function<http::EntryAnswer(const core::DataCentreId&)>;

  /// @param self This host's caller address, left out where a refusal names
  /// other addresses.
  /// @param hooks Told of requests that are refused for their form.
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
