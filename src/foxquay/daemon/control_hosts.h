#ifndef FOXQUAY_DAEMON_CONTROL_HOSTS_H_
#define FOXQUAY_DAEMON_CONTROL_HOSTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/entry/answer.h"
#include "foxquay/entry/distances.h"
#include "foxquay/schema/peer.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Silence after which a host leaves the entry answer.
inline constexpr core::Duration kHostSilence = std::chrono::milliseconds(1500);

/// What is known of one host of the cluster.
struct HostView {
  core::HostId id;
  std::string caller;  ///< Caller listener.
  core::DataCentreId data_centre;
  core::RegionId region;
  bool control = false;
  bool alive = false;  ///< Heard from within kHostSilence.
  std::uint64_t incarnation = 0;
  schema::HostReport report;

  friend bool operator==(const HostView&, const HostView&) = default;
};

/// The hosts of the settings and their latest reports. Not thread-safe.
class Hosts {
 public:
  explicit Hosts(const schema::Settings& settings);

  /// Takes the report of another host.
  void HandleReport(const core::HostId& host, std::uint64_t incarnation,
                    const schema::HostReport& report, core::Instant now);

  /// Sets this host's own report.
  void SetOwn(std::uint64_t incarnation, const schema::HostReport& report);

  /// Returns all hosts, this one first.
  [[nodiscard]] std::vector<HostView> View(core::Instant now) const;

 private:
  struct Entry {
    HostView view;
    core::Instant heard;
    bool reported = false;
  };

  core::HostId self_;
  std::vector<core::HostId> order_;
  std::map<core::HostId, Entry> entries_;
};

/// Converts the hosts for the choice of an entry answer. Thread-safe.
[[nodiscard]] std::vector<entry::Host> EntryHosts(
    const std::vector<HostView>& hosts);

/// Returns nominal latencies: data centres of one region are near each other.
[[nodiscard]] entry::Distances DistancesOf(const schema::Settings& settings);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_HOSTS_H_
