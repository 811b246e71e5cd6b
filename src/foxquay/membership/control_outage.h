#ifndef FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_
#define FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::membership {

/// Time within which control hosts must have been seen to be down for them to
/// count together: a host asks each of several within it.
inline constexpr core::Duration kOutageSpan = std::chrono::milliseconds(1500);

/// Time as of which no change could be acknowledged, although no control host
/// confirms the configuration.
///
/// A change of the configuration needs a quorum of control hosts, and the leave
/// of an upstream any of them. A host that cannot confirm what it knows may
/// still act on it as of the time at which so many were seen to be down that no
/// quorum was left: they refused connections, or had just started. Neither a
/// control host that is silent nor one with an old confirmation is evidence: it
/// may be busy, and a change that it has stored may have been acknowledged. Not
/// thread-safe; performs no I/O.
class ControlOutage {
 public:
  /// Replaces the control hosts; what is known of the others is dropped.
  /// `tolerated_losses` of them may be lost without the loss of the quorum.
  void SetControls(const std::vector<core::HostId>& controls,
                   std::size_t tolerated_losses);

  /// Records that a control host refused a connection at `now`.
  void RecordRefusal(const core::HostId& control, core::Instant now);

  /// Records a reply of a control host that has not confirmed a configuration
  /// since its start.
  void RecordStart(const core::HostId& control, core::Instant now);

  /// Records a reply of a control host that has: it takes part in changes.
  void RecordReply(const core::HostId& control);

  /// Forgets all evidence: a change was made that this host lacks.
  void Clear();

  /// Returns the latest time as of which no change of the configuration could
  /// be acknowledged; nothing if there is none.
  [[nodiscard]] std::optional<core::Instant> ConfigurationAsOf() const;

  /// As ConfigurationAsOf, for leaves of upstreams.
  [[nodiscard]] std::optional<core::Instant> UpstreamsAsOf() const;

 private:
  /// When a control host was last seen to be down.
  struct Evidence {
    core::Instant at;
    bool refused = false;  ///< There was no process; else one had started.
  };

  std::map<core::HostId, std::optional<Evidence>> controls_;
  std::size_t tolerated_losses_ = 0;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_
