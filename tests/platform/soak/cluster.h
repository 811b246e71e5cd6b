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

/// Bounds of the cluster, from the users' site files; only the grace period is
/// shorter, so that many restarts fit into a run.
inline constexpr core::Duration kRevocationBound = std::chrono::seconds(5);
inline constexpr core::Duration kConfigApplyBound =
    std::chrono::milliseconds(2500);
inline constexpr core::Duration kGracePeriod = std::chrono::seconds(4);
inline constexpr core::Duration kRecoveryBound = std::chrono::seconds(15);

/// What the machine of a process has.
struct Machine {
  std::size_t memory_kib;   ///< For writable memory (RLIMIT_DATA).
  std::size_t descriptors;  ///< File descriptors (RLIMIT_NOFILE).
};

/// The router processes of one cluster, each behind a proxy. Hosts below
/// `kControlHosts` have the role control, the others the role entry. Not
/// thread-safe.
class Cluster {
 public:
  /// Starts every host; `binary` is the program that they run,
  /// `connect_filter` the library for CutFromUpstreams, if it is used, and
  /// `machine` limits each process.
  Cluster(boost::asio::io_context& context, const std::string& binary,
          std::string connect_filter = "",
          std::optional<Machine> machine = std::nullopt);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Returns the addresses of the proxies before the control hosts, or before
  /// the entry hosts.
  [[nodiscard]] std::vector<std::string> ProxyAddresses(bool control) const;
  [[nodiscard]] Proxy& proxy(std::size_t host) { return *hosts_[host].proxy; }
  /// Returns the address of a host's listener for callers or upstreams, of the
  /// one for requests that entry hosts pass on, and of the one for other hosts.
  [[nodiscard]] std::string address(std::size_t host) const {
    return hosts_[host].ip + port_;
  }
  [[nodiscard]] std::string partner_address(std::size_t host) const {
    return hosts_[host].ip + partner_port_;
  }
  [[nodiscard]] std::string peer_address(std::size_t host) const {
    return hosts_[host].ip + peer_port_;
  }
  /// Returns the process id of a host. Precondition: it is running.
  [[nodiscard]] pid_t pid(std::size_t host) const {
    return hosts_[host].process->pid();
  }
  [[nodiscard]] bool running(std::size_t host) const {
    return hosts_[host].process.has_value();
  }
  /// Sets the program that a host runs from its next start on.
  void SetBinary(std::size_t host, const std::string& binary) {
    hosts_[host].binary = binary;
  }
  /// Writes the settings of a host that is not running, and starts it.
  void Start(std::size_t host);
  /// Kills the process of a host.
  void Kill(std::size_t host);
  /// Redirects new connections of a host to upstreams to a port on 127.0.0.1,
  /// or refuses them if it is 0; open connections go on. Precondition: the
  /// cluster has a connect filter.
  void CutFromUpstreams(std::size_t host, int port) const;
  void ReconnectToUpstreams(std::size_t host) const;
  /// Sends a signal; does nothing if the host is not running.
  void Signal(std::size_t host, int number);
  /// Returns the status of waitpid() if a host that was running has exited; the
  /// host then counts as not running.
  std::optional<int> TakeExitStatus(std::size_t host);
  /// Deletes the data folder of a host that is not running.
  void DeleteData(std::size_t host);
  /// Appends an incomplete record to the newest log file of a host that is not
  /// running, as a power loss during a write leaves it.
  void AppendTornWrite(std::size_t host);
  /// Rewrites the settings with another log level; they take effect on SIGHUP.
  void RewriteSettings(std::size_t host);
  /// Returns the folder of settings, data and logs.
  [[nodiscard]] const std::string& folder() const { return folder_; }
  void RemoveFolder();

 private:
  struct Host {
    std::string ip;
    Proxy* proxy = nullptr;
    std::string binary;    ///< The program that it runs.
    bool started = false;  ///< Whether it was ever started.
    std::optional<daemon::Process> process;
  };

  /// Replaces the settings file atomically; `level` is the log level.
  void WriteSettings(std::size_t host, bool bootstrap,
                     const std::string& level) const;
  [[nodiscard]] std::string Path(std::size_t host,
                                 const std::string& suffix) const;

  std::string connect_filter_;
  std::optional<Machine> machine_;
  std::string folder_;
  // The same on every host, each with a leading colon.
  std::string peer_port_;
  std::string partner_port_;
  std::string port_;  ///< Of the caller or upstream listener.
  std::list<Proxy> proxies_;
  std::vector<Host> hosts_;
};

}  // namespace foxquay::platform::soak

#endif  // FOXQUAY_TESTS_PLATFORM_SOAK_CLUSTER_H_
