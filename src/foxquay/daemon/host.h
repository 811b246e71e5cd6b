#ifndef FOXQUAY_DAEMON_HOST_H_
#define FOXQUAY_DAEMON_HOST_H_

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "foxquay/daemon/announcements.h"
#include "foxquay/daemon/caller_api.h"
#include "foxquay/daemon/hooks.h"
#include "foxquay/daemon/traffic.h"
#include "foxquay/http/endpoint.h"
#include "foxquay/http/server.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// The request path of one host: the caller and upstream listeners, and
/// Traffic.
class Host {
 public:
  /// @param settings Validated settings of this host.
  /// @param hooks Must outlive the host and not change after Start.
  Host(const schema::Settings& settings, const ControlHooks& hooks);
  /// Stops serving at once.
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /// Starts both listeners. Logs the address that could not be bound and
  /// returns its error, if any.
  [[nodiscard]] std::error_code Start();

  /// Drains the host. Removes it from the entry answer, admits requests until
  /// the cached answers have expired (policy key entry.ttl), then blocks until
  /// no request is open. Call once.
  void Drain();

  /// Returns whether Drain has begun. Thread-safe.
  [[nodiscard]] bool draining() const noexcept { return draining_.load(); }
  /// Returns the names of the requests that are open. Thread-safe.
  [[nodiscard]] std::vector<std::string> OpenRequests() const;
  /// Returns the object to which the control node passes claim decisions,
  /// upstreams, policy and admission. Thread-safe.
  [[nodiscard]] Traffic& traffic() noexcept { return traffic_; }
  /// Writes one key=value line to the log. Thread-safe.
  void Log(const std::string& line) const;

 private:
  std::vector<http::Route> UpstreamRoutes();
  http::Outgoing Announce(const http::Incoming& incoming);
  http::Outgoing Withdraw(const http::Incoming& incoming);
  [[nodiscard]] bool MayAnnounce(const http::Incoming& incoming) const;
  void Publish();
  void Maintain();
  [[nodiscard]] http::EntryAnswer Entry(
      const core::DataCentreId& caller_data_centre);
  [[nodiscard]] http::EntryAnswer LocalEntry(
      const core::DataCentreId& caller_data_centre) const;

  const schema::Settings settings_;
  const ControlHooks& hooks_;
  std::vector<http::Network> networks_;
  Traffic traffic_;
  CallerApi caller_api_;
  std::mutex mutex_;
  Announcements announcements_;
  std::atomic<bool> draining_{false};
  bool stopping_ = false;
  std::condition_variable stop_condition_;
  std::thread maintenance_;
  http::Server caller_server_;
  http::Server upstream_server_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_HOST_H_
