#ifndef FOXQUAY_CONTROL_OBSERVER_H_
#define FOXQUAY_CONTROL_OBSERVER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "foxquay/control/config.h"
#include "foxquay/control/feed.h"
#include "foxquay/control/fwd.h"
#include "foxquay/control/timing.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Why a host admits or refuses new requests.
enum class AdmissionState : std::uint8_t {
  kOpen,           ///< New requests may be admitted until Admission::until.
  kNoLease,        ///< The configuration is not confirmed as current.
  kNotRegistered,  ///< The configuration does not show this incarnation live.
};

/// Whether a host may admit requests.
struct Admission {
  AdmissionState state = AdmissionState::kNoLease;
  core::Instant until{};  ///< End of the lease if open; admit nothing after it.

  friend bool operator==(const Admission&, const Admission&) = default;
};

/// A host's copy of the configuration and the lease that lets it admit.
///
/// Not thread-safe. Performs no I/O and keeps nothing on disk.
class Observer {
 public:
  /// Precondition: `incarnation` is larger than any before of this host; all
  /// hosts use the same `lease`.
  Observer(core::HostId host, std::uint64_t incarnation,
           core::Duration lease = kConfigLease);

  /// Adopts a new incarnation, e.g. after this one was ended by mistake;
  /// replies to polls of the old one are ignored.
  void SetIncarnation(std::uint64_t incarnation);

  /// Returns a poll to send at once to a control replica or another host.
  [[nodiscard]] schema::ConfigPoll StartPoll(core::Instant now);

  /// Applies a reply; returns whether the configuration changed. Unknown,
  /// repeated or unconnected replies do not extend the lease.
  bool HandleReply(const schema::ConfigReply& reply);

  /// Copies the configuration of the replica on this host. `age` is set on the
  /// leader, with the meaning of State::Answer. Returns whether the
  /// configuration changed.
  bool Sync(const State& state, std::optional<core::Duration> age,
            core::Instant now);

  /// Answers another host's poll; nothing if this host was never confirmed.
  [[nodiscard]] std::optional<schema::ConfigReply> Answer(
      const schema::ConfigPoll& poll, core::Instant now) const;

  /// Returns what may be admitted at `now`, read no earlier than the admission.
  [[nodiscard]] Admission Admit(core::Instant now) const;

  /// Returns the end of the lease, whether passed or not.
  [[nodiscard]] std::optional<core::Instant> LeaseEnd() const noexcept;

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  /// Returns the version of the fleet's configuration; 0 if none is known.
  [[nodiscard]] std::uint64_t fleet_version() const noexcept {
    return fleet_version_;
  }
  /// Returns the encoded configuration of the fleet; empty if none is known.
  [[nodiscard]] const std::string& fleet() const noexcept { return fleet_; }
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }

 private:
  bool ApplyReply(const schema::ConfigReply& reply);
  void Confirm(core::Instant at);

  core::HostId host_;
  std::uint64_t incarnation_ = 0;
  core::Duration lease_;
  std::uint64_t fleet_version_ = 0;
  std::string fleet_;
  std::uint64_t next_poll_ = 1;
  std::deque<std::pair<std::uint64_t, core::Instant>> open_polls_;
  Config config_;
  Feed feed_;
  std::optional<core::Instant> confirmed_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_OBSERVER_H_
