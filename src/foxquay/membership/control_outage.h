#ifndef FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_
#define FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_

#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::membership {

/// Age from which the confirmation of a control host shows that it hears no
/// leader: the time after which a leader without a quorum steps down.
inline constexpr core::Duration kLeaderlessAge = std::chrono::seconds(1);

/// Time as of which no change could be acknowledged, although no control host
/// confirms the configuration.
///
/// A change needs a majority of the control hosts. A host that cannot confirm
/// its configuration may still act on it as of the time at which a majority was
/// seen to be down (it refuses connections, or has just started) or without a
/// leader. A control host that does not answer is no evidence: it may be busy,
/// and may have acknowledged a change. Not thread-safe; performs no I/O.
class ControlOutage {
 public:
  /// Replaces the control hosts; what is known of the others is dropped.
  void SetControls(const std::vector<core::HostId>& controls);

  /// Records that a control host refused a connection at `now`.
  void RecordRefusal(const core::HostId& control, core::Instant now);

  /// Records a reply that arrived at `now`. `age` is that of the confirmation
  /// of the sender, whose configuration is not newer than that of this host;
  /// nothing if it has never confirmed one.
  void RecordReply(const core::HostId& control,
                   std::optional<core::Duration> age, core::Instant now);

  /// Returns the latest time as of which a majority of the control hosts could
  /// acknowledge nothing; nothing if there is no such time.
  [[nodiscard]] std::optional<core::Instant> AsOf() const;

 private:
  /// Last evidence that a control host could take part in no change.
  std::map<core::HostId, std::optional<core::Instant>> controls_;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_CONTROL_OUTAGE_H_
