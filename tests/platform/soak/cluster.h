#ifndef FOXQUAY_TESTS_PLATFORM_SOAK_CLUSTER_H_
#define FOXQUAY_TESTS_PLATFORM_SOAK_CLUSTER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "daemon/process.h"
#include "platform/soak/proxy.h"

namespace foxquay::platform::soak {

inline constexpr std::size_t kControlHosts = 3;
inline constexpr std::size_t kEntryHosts = 3;
inline constexpr std::size_t kHosts = kControlHosts + kEntryHosts;

/// Bounds of the site, from the users' site files; the grace is shorter, so
/// that many restarts fit into a run.
inline constexpr core::Duration kRevocationBound = std::chrono::seconds(5);
inline constexpr core::Duration kConfigApplyBound =
    std::chrono::milliseconds(2500);
inline constexpr core::Duration kGracePeriod = std::chrono::seconds(4);
inline constexpr core::Duration kRecoveryBound = std::chrono::seconds(15);

/// The processes of one cluster, each behind a proxy; the first ones have the
/// role control. Not thread-safe.
class Cluster {
 public:
  Cluster(boost::asio::io_context& context, std::string binary);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Returns the proxies of control hosts and entry hosts.
  [[nodiscard]] std::vector<std::string> ProxyAddresses(bool control) const;
  [[nodiscard]] Proxy& proxy(std::size_t host) { return *hosts_[host].proxy; }
  [[nodiscard]] bool running(std::size_t host) const {
    return hosts_[host].process.has_value();
  }
  void Start(std::size_t host);
  void Kill(std::size_t host);
  void Signal(std::size_t host, int number);
  /// Returns whether a host has ended by itself, with its status; it counts as
  /// not running then.
  std::optional<int> TakeExitStatus(std::size_t host);
  /// Deletes the data of a host that is not running.
  void DeleteData(std::size_t host);
  /// Appends bytes to the files of a host that is not running, as a write that
  /// was torn by a power loss leaves them.
  void AppendTornWrite(std::size_t host);
  /// Writes the settings again with another log level.
  void RewriteSettings(std::size_t host);
  [[nodiscard]] const std::string& folder() const { return folder_; }
  void RemoveFolder();

 private:
  struct Host {
    std::string ip;
    Proxy* proxy = nullptr;
    bool started = false;  ///< At least once.
    std::optional<daemon::Process> process;
  };

  void WriteSettings(std::size_t host, bool bootstrap,
                     const std::string& level) const;
  [[nodiscard]] std::string Path(std::size_t host,
                                 const std::string& suffix) const;

  std::string binary_;
  std::string folder_;
  std::string peer_port_;
  std::string port_;
  std::list<Proxy> proxies_;
  std::vector<Host> hosts_;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_CLUSTER_H_
