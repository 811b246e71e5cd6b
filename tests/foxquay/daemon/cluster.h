#ifndef FOXQUAY_TESTS_DAEMON_CLUSTER_H_
#define FOXQUAY_TESTS_DAEMON_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "foxquay/http/client.h"
#include "process.h"

namespace foxquay::daemon {

/// Response of an admin listener; status 0 if none arrived.
struct AdminAnswer {
  std::uint32_t status = 0;
  nlohmann::json body;
};

/// Several foxquayd processes on loopback, the first ones with a consensus
/// replica.
class Cluster {
 public:
  /// Starts `hosts` hosts, the first `replicas` of them with the role control.
  /// The last `unlisted` hosts are in the settings of no other host; their own
  /// settings list only the replicas.
  Cluster(std::size_t hosts, std::size_t replicas, std::size_t unlisted = 0);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void Start(std::size_t host);
  void Kill(std::size_t host);
  void Signal(std::size_t host, int number);
  /// Returns whether the log of a host contains `text`.
  [[nodiscard]] bool Logged(std::size_t host, const std::string& text) const {
    return Contains(Path(host, ".log"), text);
  }
  /// Deletes the data folder of a host.
  void DeleteDataFolder(std::size_t host);

  /// Starts the fake service "desk", which announces itself to one host.
  void StartService(std::size_t host);
  /// Returns the number of calls that the service has run, except to /ready.
  [[nodiscard]] std::size_t ServiceRuns() const;

  [[nodiscard]] AdminAnswer Admin(std::size_t host, const std::string& method,
                                  const std::string& path,
                                  const nlohmann::json& body = nullptr) const;
  /// Sets the default of entry.ttl in milliseconds; with `wait`, the host
  /// answers once the change is in force.
  [[nodiscard]] AdminAnswer SetTtl(std::size_t host, int value,
                                   std::uint64_t expected_revision,
                                   const std::string& change_id,
                                   bool wait = false) const;

  /// Sends a call with an idempotency key to the service.
  [[nodiscard]] http::ServiceResult SendProtected(std::size_t host,
                                                  const std::string& key) const;
  /// Sends a call without an idempotency key to the service.
  [[nodiscard]] http::ServiceResult SendOrdinary(std::size_t host) const;

  /// Returns the number of addresses in the entry answer of a host.
  [[nodiscard]] std::size_t EntryAddresses(std::size_t host) const;

  [[nodiscard]] bool AwaitAdmitting(std::size_t host) const;
  /// Waits until an ordinary call through the host succeeds.
  [[nodiscard]] bool AwaitService(std::size_t host) const;
  [[nodiscard]] std::optional<std::uint64_t> Revision(std::size_t host) const;
  /// Returns the index of the leader that a host reports.
  [[nodiscard]] std::optional<std::size_t> Leader(std::size_t host) const;

 private:
  struct Listeners {
    std::string caller = FreeAddress();
    std::string upstream = FreeAddress();
    std::string admin = FreeAddress();
    std::string peer = FreeAddress();
  };

  void WriteSettings(std::size_t host, std::size_t replicas,
                     std::size_t unlisted) const;
  [[nodiscard]] std::string Path(std::size_t host,
                                 const std::string& suffix) const;

  std::string folder_;
  std::vector<Listeners> listeners_;
  std::vector<std::optional<Process>> hosts_;
  std::list<Process> services_;
};

/// Returns a header of a reply; empty if it is missing.
std::string HeaderOf(const http::ServiceResult& result,
                     const std::string& name);

/// Returns an idempotency key that expires in an hour; `unique` tells it from
/// others.
std::string MakeIdempotencyKey(const std::string& unique);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_TESTS_DAEMON_CLUSTER_H_
