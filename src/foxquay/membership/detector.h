#ifndef FOXQUAY_MEMBERSHIP_DETECTOR_H_
#define FOXQUAY_MEMBERSHIP_DETECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/membership/member_table.h"
#include "foxquay/schema/membership.h"

namespace foxquay::membership {

/// Interval between the probes that one host starts (protocol period).
inline constexpr core::Duration kProbePeriod = std::chrono::milliseconds(200);
/// Time after which a probe without an acknowledgement is repeated indirectly,
/// through other hosts.
inline constexpr core::Duration kDirectProbeTimeout =
    std::chrono::milliseconds(80);
/// Number of hosts through which a probe is repeated.
inline constexpr std::size_t kIndirectProbes = 3;
/// Time within which a suspected host may refute the suspicion before it is
/// declared dead.
inline constexpr core::Duration kSuspicionTimeout = std::chrono::seconds(2);
/// Gap between two calls of Tick above which this process is considered to have
/// been stalled. After a stall, the pending probe is dropped and suspicions
/// start anew, because the elapsed time says nothing about other hosts.
inline constexpr core::Duration kStallThreshold =
    std::chrono::milliseconds(500);

/// Identity of this host and seed of its detector.
struct DetectorOptions {
  core::HostId host;
  std::uint64_t incarnation = 1;  ///< Larger than all previous ones.
  std::string address;            ///< `IP:PORT` of its peer listener.
  core::DataCentreId data_centre;
  std::uint64_t seed = 1;  ///< Seed of all random choices.
};

/// A message to send by UDP.
struct Datagram {
  core::HostId to;
  std::string address;  ///< `IP:PORT` of the receiver's peer listener.
  schema::MembershipMessage message;
};

/// Failure detector for hosts, an implementation of SWIM (Das, Gupta, Motivala
/// 2002).
///
/// Probes one host per period, in a random order that visits all hosts. A probe
/// without an acknowledgement is repeated through three other hosts. A host
/// that acknowledges none of these is suspected, and declared dead if it does
/// not refute the suspicion in time.
///
/// With N other hosts believed alive, a host that fails silently is probed
/// within 2 N - 1 periods, and the prober declares it dead 0.2 s + 2 s after
/// that probe. Not thread-safe. Performs no I/O.
class Detector {
 public:
  /// Starts the first period at `now`.
  Detector(const DetectorOptions& options, core::Instant now);

  /// Adds a host from the settings, which is considered dead until the first
  /// update about it. `address` is the `IP:PORT` of its peer listener.
  void AddPeer(const core::HostId& host, const std::string& address);

  /// Performs the actions due at `now`; returns the messages to send.
  [[nodiscard]] std::vector<Datagram> Tick(core::Instant now);

  /// Applies a message that host `from` sent; returns the messages to send.
  [[nodiscard]] std::vector<Datagram> Handle(
      const core::HostId& from, const schema::MembershipMessage& message,
      core::Instant now);

  /// Returns the time by which Tick must be called next.
  [[nodiscard]] core::Instant NextDeadline() const;

  /// Returns the state changes of other hosts since the previous call, in
  /// order, and clears them.
  [[nodiscard]] std::vector<schema::MemberUpdate> TakeChanges();

  /// Returns the known hosts other than this one.
  [[nodiscard]] const MemberTable::Map& members() const noexcept {
    return table_.members();
  }

  /// Returns whether an update showed a newer incarnation of this host; if so,
  /// this process must stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  /// The probe of the current period.
  struct PendingProbe {
    core::HostId target;
    std::uint64_t sequence = 0;
    core::Instant sent{};
    bool indirect = false;  ///< Whether it was repeated through other hosts.
    bool acked = false;
  };
  /// A probe that this host sent on request of another one.
  struct Relay {
    core::HostId origin;         ///< Host that requested the probe.
    std::uint64_t sequence = 0;  ///< Sequence of the origin's own probe.
    core::HostId target;
    core::Instant expiry{};
  };
  using Datagrams = std::vector<Datagram>;

  void HandleMessage(const core::HostId& from, const schema::Probe& probe,
                     Datagrams& out);
  void HandleMessage(const core::HostId& from,
                     const schema::ProbeRequest& request, Datagrams& out);
  void HandleMessage(const core::HostId& from, const schema::ProbeAck& ack,
                     Datagrams& out);
  void ApplyUpdates(const std::vector<schema::MemberUpdate>& updates);
  /// Applies an update about this host: raises its own version to refute a
  /// suspicion or death of this incarnation.
  void ApplyOwnUpdate(const schema::MemberUpdate& update);
  void Declare(const core::HostId& host, schema::MemberState state);
  void DeclareDead();
  void SendIndirectProbes(Datagrams& out);
  void StartPeriod(Datagrams& out);
  /// Returns the next alive host in probe order, or nothing if there is none.
  std::optional<core::HostId> NextTarget();
  /// Returns a random host in a state, or nothing if there is none.
  std::optional<core::HostId> PickRandom(schema::MemberState state);
  /// Returns the sequence of the probe.
  std::uint64_t SendProbe(const core::HostId& target, Datagrams& out);
  /// Sends a message with piggybacked updates: this host's own first, then that
  /// about the host `about`, then others.
  template <class Message>
  void Send(const core::HostId& to, const core::HostId& about, Message message,
            Datagrams& out);

  schema::MemberUpdate self_;
  MemberTable table_;
  std::mt19937_64 random_;
  core::Instant now_;
  core::Instant last_tick_;
  core::Instant next_period_;
  std::uint64_t periods_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::optional<PendingProbe> pending_;
  std::map<std::uint64_t, Relay> relays_;  ///< By sequence of the sent probe.
  std::vector<core::HostId> probe_order_;
  std::vector<schema::MemberUpdate> changes_;
  bool superseded_ = false;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_DETECTOR_H_
