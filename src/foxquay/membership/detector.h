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

/// Time between two probes by one host.
inline constexpr core::Duration kProbePeriod = std::chrono::milliseconds(200);
/// Time after which an unanswered probe is repeated through other hosts.
inline constexpr core::Duration kDirectProbeTimeout =
    std::chrono::milliseconds(80);
/// Hosts that repeat an unanswered probe.
inline constexpr std::size_t kIndirectProbes = 3;
/// Time in which a suspected host may refute.
inline constexpr core::Duration kSuspicionTimeout = std::chrono::seconds(2);
/// Gap between two calls of Tick after which the host itself was frozen and
/// judges nobody by the time that passed.
inline constexpr core::Duration kStallThreshold =
    std::chrono::milliseconds(500);

/// Identity of this host.
struct DetectorOptions {
  core::HostId host;
  std::uint64_t incarnation = 1;  ///< Larger than any before of this host.
  std::string address;            ///< Peer listener that others reach it by.
  core::DataCentreId data_centre;
  std::uint64_t seed = 1;  ///< Of all random choices.
};

/// A message to send by UDP.
struct Datagram {
  core::HostId to;
  std::string address;
  schema::MembershipMessage message;
};

/// Failure detector of hosts after SWIM (Das, Gupta, Motivala 2002): probes one
/// host per period in a random order that visits all, repeats it through three
/// others, suspects, and declares dead what does not refute.
///
/// A host that died silently is first probed in vain after at most 2 N - 1
/// periods for N other hosts believed alive, and is declared dead by the prober
/// 0.2 s + 2 s later. Not thread-safe. Performs no I/O.
class Detector {
 public:
  Detector(const DetectorOptions& options, core::Instant now);

  /// Adds a host from the settings; it counts as dead until it is heard of.
  void AddPeer(const core::HostId& host, const std::string& address);

  /// Does what is due at `now`; returns messages to send.
  [[nodiscard]] std::vector<Datagram> Tick(core::Instant now);

  /// Applies a message; returns messages to send.
  [[nodiscard]] std::vector<Datagram> Handle(
      const core::HostId& from, const schema::MembershipMessage& message,
      core::Instant now);

  /// Returns the time by which Tick must be called.
  [[nodiscard]] core::Instant NextDeadline() const;

  /// Returns and clears the news since the last call, in order.
  [[nodiscard]] std::vector<schema::MemberUpdate> TakeChanges();

  /// Returns the other hosts.
  [[nodiscard]] const MemberTable::Map& members() const noexcept {
    return table_.members();
  }

  /// Returns whether a newer incarnation of this host was heard of; the process
  /// must stop.
  [[nodiscard]] bool superseded() const noexcept { return superseded_; }

 private:
  struct PendingProbe {
    core::HostId target;
    std::uint64_t sequence = 0;
    core::Instant sent{};
    bool indirect = false;
    bool acked = false;
  };
  struct Relay {
    core::HostId origin;
    std::uint64_t sequence = 0;
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
  void ApplyOwnUpdate(const schema::MemberUpdate& update);
  void Declare(const core::HostId& host, schema::MemberState state);
  void DeclareDead();
  void SendIndirectProbes(Datagrams& out);
  void StartPeriod(Datagrams& out);
  std::optional<core::HostId> NextTarget();
  std::optional<core::HostId> PickRandom(schema::MemberState state);
  std::uint64_t SendProbe(const core::HostId& target, Datagrams& out);
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
  std::map<std::uint64_t, Relay> relays_;
  std::vector<core::HostId> probe_order_;
  std::vector<schema::MemberUpdate> changes_;
  bool superseded_ = false;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_DETECTOR_H_
