#ifndef FOXQUAY_CONTROL_OBSERVER_H_
#define FOXQUAY_CONTROL_OBSERVER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "foxquay/control/config.h"
#include "foxquay/control/content_share.h"
#include "foxquay/control/feed.h"
#include "foxquay/control/fleet_history.h"
#include "foxquay/control/fwd.h"
#include "foxquay/control/timing.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Whether a host may admit new requests, and if not, why.
enum class AdmissionState : std::uint8_t {
  kOpen,           ///< Requests may be admitted until Admission::until.
  kNoLease,        ///< The configuration is not confirmed as current.
  kNotRegistered,  ///< This incarnation is not live in the configuration.
};

/// Whether and until when a host may admit new requests.
struct Admission {
  AdmissionState state = AdmissionState::kNoLease;
  core::Instant until{};  ///< End of the lease if `state` is kOpen.

  friend bool operator==(const Admission&, const Admission&) = default;
};

/// A host's copy of the configuration, and the lease under which the host
/// admits requests by it.
///
/// The lease starts when the configuration was last confirmed as current.
/// Not thread-safe. Performs no I/O and persists nothing.
class Observer {
 public:
  /// A host that makes no claims needs no registration: nothing in the
  /// replicated state refers to its incarnation.
  ///
  /// Preconditions: `incarnation` is larger than all previous ones of this
  /// host; all hosts use the same `lease`.
  Observer(core::HostId host, std::uint64_t incarnation,
           core::Duration lease = kConfigLease,
           bool requires_registration = true);

  /// Switches to a new incarnation, for example after the current one was ended
  /// by mistake. Replies to polls of the previous incarnation are ignored.
  void SetIncarnation(std::uint64_t incarnation);

  /// Returns a poll to send at `now` to a control replica or another host.
  [[nodiscard]] schema::ConfigPoll StartPoll(core::Instant now);

  /// Applies a reply; returns whether the configuration changed.
  ///
  /// Replies to unknown or already answered polls are ignored. A reply that
  /// leaves the configuration behind the sender's does not extend the lease.
  bool HandleReply(const schema::ConfigReply& reply);

  /// Returns whether this host has all that the sender of a reply had.
  [[nodiscard]] bool HasAll(const schema::ConfigReply& reply) const;

  /// Copies the configuration of the replica on this host; returns whether the
  /// configuration changed.
  ///
  /// `age` is set if the replica is the leader and has the meaning described at
  /// State::Answer; without it, the lease is not extended.
  bool Sync(const State& state, std::optional<core::Duration> age,
            core::Instant now);

  /// Returns the reply to another host's poll, or nothing if the configuration
  /// of this host has never been confirmed. Content of the fleet configuration
  /// beyond `max_content` bytes is left out.
  [[nodiscard]] std::optional<schema::ConfigReply> Answer(
      const schema::ConfigPoll& poll, core::Instant now,
      std::size_t max_content = kUnlimitedContent) const;

  /// Returns whether requests may be admitted at `now`. Precondition: `now` is
  /// read when the request is admitted, not earlier.
  [[nodiscard]] Admission Admit(core::Instant now) const;

  /// Returns the end of the lease, which may have passed, or nothing if the
  /// configuration has never been confirmed.
  [[nodiscard]] std::optional<core::Instant> LeaseEnd() const noexcept;

  /// Returns the latest time at which the configuration is known to have been
  /// current, or nothing if it has never been confirmed.
  [[nodiscard]] const std::optional<core::Instant>& confirmed() const noexcept {
    return confirmed_;
  }

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  /// Returns the version of the fleet configuration; 0 if none is known.
  [[nodiscard]] std::uint64_t fleet_version() const noexcept {
    return fleet_version_;
  }
  /// Returns the encoded fleet configuration; empty if none is known.
  [[nodiscard]] const std::string& fleet() const noexcept { return fleet_; }
  /// Returns the quarantines in force.
  [[nodiscard]] const schema::QuarantineTable& quarantines() const noexcept {
    return quarantines_;
  }
  [[nodiscard]] std::uint64_t incarnation() const noexcept {
    return incarnation_;
  }

 private:
  [[nodiscard]] schema::ConfigPoll MakePoll(std::uint64_t number) const;
  /// Returns whether the configuration changed.
  bool ApplyReply(const schema::ConfigReply& reply);
  /// Records that the configuration was current at `at`.
  void Confirm(core::Instant at);

  core::HostId host_;
  std::uint64_t incarnation_ = 0;
  core::Duration lease_;
  bool requires_registration_ = true;
  std::uint64_t fleet_version_ = 0;
  std::string fleet_;
  FleetHistory fleet_history_;
  bool needs_whole_fleet_ = false;  ///< A change did not fit.
  schema::QuarantineTable quarantines_;
  std::uint64_t next_poll_ = 1;
  /// Numbers and send times of polls without a reply, oldest first.
  std::deque<std::pair<std::uint64_t, core::Instant>> open_polls_;
  Config config_;
  Feed feed_;
  /// Latest time at which the configuration is known to have been current.
  std::optional<core::Instant> confirmed_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_OBSERVER_H_
