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
#include "foxquay/roster/roster.h"
#include "foxquay/schema/peer.h"
#include "foxquay/schema/settings.h"

namespace foxquay::daemon {

/// Time without a report after which a host no longer counts as alive and is
/// left out of entry answers.
inline constexpr core::Duration kHostSilence = roster::kHostSilence;

/// Time without a report after which a host that is not in the settings is
/// removed.
inline constexpr core::Duration kRemovalSilence = std::chrono::seconds(60);

/// The known state of a host of the cluster.
struct HostView {
  core::HostId id;
  std::string peer;    ///< Address of the peer listener, `IP:PORT`.
  std::string caller;  ///< Address of the caller listener; empty without one.
  core::DataCentreId data_centre;
  core::RegionId region;
  std::string partner;   ///< Address of the listener for requests of hosts.
  bool control = false;  ///< Has the role control.
  bool alive = false;    ///< Has reported within kHostSilence.
  std::uint64_t incarnation = 0;
  schema::HostReport report;

  friend bool operator==(const HostView&, const HostView&) = default;
};

/// The hosts of the settings, the hosts that joined since, and the latest
/// report of each. Not thread-safe.
class Hosts {
 public:
  explicit Hosts(const schema::Settings& settings);

  /// Stores the report of another host; ignores unknown hosts and reports of
  /// earlier incarnations.
  void HandleReport(const core::HostId& host, std::uint64_t incarnation,
                    const schema::HostReport& report, core::Instant now);

  /// Stores the addresses that a host announced, directly or through another
  /// host, unless the same or a later incarnation has announced them already.
  /// Returns whether the host is new or its peer address has changed.
  bool HandleAddress(const schema::HostAddress& address, core::Instant now);

  /// Stores the state of a host as the feeds of the control hosts hold it; from
  /// then on, these decide whether the host is alive. Ignores this host and
  /// unknown hosts that are silent. Returns whether the host is new or its peer
  /// address has changed.
  bool Follow(const schema::HostState& state, core::Instant now);

  /// Returns the hosts to announce to others: this one and those that are
  /// alive, with `control_only` only those with the role control.
  [[nodiscard]] schema::HostList ListAlive(bool control_only,
                                           core::Instant now) const;

  /// Adds a host of the settings, which is never removed; returns whether it is
  /// new. A known host keeps its addresses.
  bool AddConfigured(const schema::PeerSettings& peer);

  /// Removes hosts that are not in the settings and have been silent for
  /// kRemovalSilence; returns them.
  std::vector<core::HostId> RemoveSilent(core::Instant now);

  /// Sets the incarnation and the report of this host.
  void SetOwnReport(std::uint64_t incarnation,
                    const schema::HostReport& report);

  /// Returns whether a host's addresses are known.
  [[nodiscard]] bool Contains(const core::HostId& host) const {
    return entries_.contains(host);
  }

  /// Returns whether a host has the role control.
  [[nodiscard]] bool IsControl(const core::HostId& host) const;

  /// Returns this host.
  [[nodiscard]] const HostView& Own() const { return entries_.at(self_).view; }

  /// Returns all hosts, this one first.
  [[nodiscard]] std::vector<HostView> Views(core::Instant now) const;

 private:
  struct Entry {
    HostView view;
    core::Instant last_heard;
    bool reported = false;
    bool configured = false;  ///< In the settings.
    bool followed = false;    ///< Known from the feeds of control hosts.
    bool silent = false;      ///< Silent according to these feeds.
    /// Incarnation that announced the addresses.
    std::uint64_t address_incarnation = 0;
  };

  [[nodiscard]] bool IsAlive(const core::HostId& id, const Entry& entry,
                             core::Instant now) const;

  core::HostId self_;
  std::vector<core::HostId> order_;
  std::map<core::HostId, Entry> entries_;
};

/// Returns the hosts with a caller listener, as input for choosing entry
/// addresses. Thread-safe.
[[nodiscard]] std::vector<entry::Host> ToEntryHosts(
    const std::vector<HostView>& hosts);

/// Returns nominal latencies between data centres: 1 ms within a region, 100 ms
/// between regions. Thread-safe.
[[nodiscard]] entry::Distances NominalDistances(
    const std::vector<HostView>& hosts);

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_HOSTS_H_
