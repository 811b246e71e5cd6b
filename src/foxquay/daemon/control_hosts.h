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

/// Silence after which a host that the settings do not name is removed.
inline constexpr core::Duration kRemovalSilence = std::chrono::seconds(60);

/// What is known of one host of the cluster.
struct HostView {
  core::HostId id;
  std::string peer;    ///< Peer listener.
  std::string caller;  ///< Caller listener.
  core::DataCentreId data_centre;
  core::RegionId region;
  bool control = false;
  bool alive = false;  ///< Heard from within kHostSilence.
  std::uint64_t incarnation = 0;
  schema::HostReport report;

  friend bool operator==(const HostView&, const HostView&) = default;
};

/// The hosts of the settings, those that joined since, and their latest
/// reports. Not thread-safe.
class Hosts {
 public:
  explicit Hosts(const schema::Settings& settings);

  /// Takes the report of another host.
  void HandleReport(const core::HostId& host, std::uint64_t incarnation,
                    const schema::HostReport& report, core::Instant now);

  /// Takes what a host stated of itself, maybe passed on by
  /// another; returns whether the host is new or has moved.
  bool HandleAddress(const schema::HostAddress& address, core::Instant now);

  /// Returns the hosts to pass on: this one and those heard from lately.
  [[nodiscard]] schema::HostList ListAlive(core::Instant now) const;

  /// Takes a host of the settings, which is never dropped; returns whether it
  /// is new.
  bool AddConfigured(const schema::PeerSettings& peer);

  /// Drops hosts that are silent and not in the settings; returns them.
  std::vector<core::HostId> RemoveSilent(core::Instant now);

  /// Sets this host's own report.
  void SetOwnReport(std::uint64_t incarnation,
                    const schema::HostReport& report);

  /// Returns whether a host's addresses are known.
  [[nodiscard]] bool Contains(const core::HostId& host) const {
    return entries_.contains(host);
  }

  /// Returns whether a host has the role control.
  [[nodiscard]] bool IsControl(const core::HostId& host) const;

  /// Returns all hosts, this one first.
  [[nodiscard]] std::vector<HostView> Views(core::Instant now) const;

 private:
  struct Entry {
    HostView view;
    core::Instant last_heard;
    bool reported = false;
    bool configured = false;  ///< In the settings.
    std::uint64_t address_incarnation =
        0;  ///< Incarnation that stated its addresses.
  };

  [[nodiscard]] bool IsAlive(const core::HostId& id, const Entry& entry,
                             core::Instant now) const;

  core::HostId self_;
  std::vector<core::HostId> order_;
  std::map<core::HostId, Entry> entries_;
};

/// Converts the hosts for the choice of an entry answer. Thread-safe.
[[nodiscard]] std::vector<entry::Host> ToEntryHosts(
    const std::vector<HostView>& hosts);

/// Returns nominal latencies: data centres of one region are near each other.
[[nodiscard]] entry::Distances NominalDistances(
    const std::vector<HostView>& hosts);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_HOSTS_H_
