#ifndef FOXQUAY_CONTROL_STATE_H_
#define FOXQUAY_CONTROL_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "foxquay/control/claims.h"
#include "foxquay/control/config.h"
#include "foxquay/control/content_share.h"
#include "foxquay/control/feed.h"
#include "foxquay/control/fleet_history.h"
#include "foxquay/control/grants.h"
#include "foxquay/control/result_log.h"
#include "foxquay/core/error.h"
#include "foxquay/core/time.h"
#include "foxquay/quarantine/table.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Maximum number of operators' changes retained for history and rollback,
/// which is seven days of changes at the design size. Older changes are merged
/// into the base configuration, the oldest one that can be restored.
inline constexpr std::size_t kMaxHistory = 200'000;

/// Replicated state machine of the control plane.
///
/// Its state is a deterministic function of the committed log entries.
/// Not thread-safe. Performs no I/O.
class State {
 public:
  State() = default;

  /// Restores a state from the bytes that Snapshot returned, in this build or
  /// in one without quarantines; Error::kCorrupt if they cannot be decoded.
  [[nodiscard]] static core::Result<State> FromSnapshot(
      const std::string& bytes);

  /// Serializes the whole state.
  [[nodiscard]] std::string Snapshot() const;

  /// Applies the command of a committed log entry and returns its result.
  ///
  /// `index` is the entry's index in the log. `time` is the leader's wall time
  /// in the entry; if it is earlier than the time of a previous entry, that
  /// entry's time is used, so that time never goes back. `bytes` is an encoded
  /// schema::ControlCommand; if it cannot be decoded, the result is a
  /// MalformedResult. Precondition: `index` is larger than in all previous
  /// calls.
  schema::ControlResult Apply(std::uint64_t index, core::WallTime time,
                              const std::string& bytes);

  /// Returns the leader's reply to an observer's poll.
  ///
  /// `age` is the time since the leader sent the latest heartbeat round that a
  /// quorum has acknowledged. Precondition: the leader has applied an entry of
  /// its own term; before that, commits of an earlier leader may be missing.
  /// Content of the fleet configuration beyond `max_content` bytes is left out;
  /// the version in the reply keeps the observer from confirming.
  [[nodiscard]] schema::ConfigReply Answer(
      const schema::ConfigPoll& poll, core::Duration age,
      std::size_t max_content = kUnlimitedContent) const;

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  /// Returns the retained changes of operators, oldest first.
  [[nodiscard]] const std::deque<schema::ConfigEntry>& history()
      const noexcept {
    return history_;
  }
  [[nodiscard]] const ResultLog& results() const noexcept { return results_; }
  [[nodiscard]] const ClaimTable& claims() const noexcept { return claims_; }
  [[nodiscard]] const GrantTable& grants() const noexcept { return grants_; }
  /// Returns the fleet configuration; its version is 0 if none has been stored.
  [[nodiscard]] const schema::PutFleet& fleet() const noexcept {
    return fleet_;
  }
  /// Returns the quarantines in force.
  [[nodiscard]] const schema::QuarantineTable& quarantines() const noexcept {
    return quarantines_.content();
  }
  /// Returns the index of the last applied log entry.
  [[nodiscard]] std::uint64_t index() const noexcept { return index_; }
  /// Returns the latest wall time of an applied log entry.
  [[nodiscard]] core::WallTime time() const noexcept { return time_; }

 private:
  struct Visitor;

  template <class Change>
  schema::ControlResult ApplyChange(const Change& change,
                                    const std::string& bytes);
  template <class Change>
  schema::ChangeResult DecideChange(const Change& change);
  schema::ChangeResult ConflictResult(const schema::ChangeHeader& header) const;
  template <class Change>
  void FillChange(const Change& change, schema::ConfigEntry& entry) const;
  void Commit(schema::ConfigEntry entry);
  schema::HostResult Apply(const schema::RegisterHost& command);
  schema::HostResult Apply(const schema::EndIncarnation& command);
  void CommitHost(schema::HostRecord record);
  template <class Command>
  schema::ClaimResult ApplyClaim(const Command& command);
  schema::FencingResult Apply(const schema::GrantFencing& command);
  schema::FleetResult Apply(const schema::PutFleet& command);
  schema::QuarantineResult Apply(const schema::PutQuarantine& command);
  schema::QuarantineResult Apply(const schema::ReleaseQuarantine& command);
  [[nodiscard]] Config ConfigAt(std::uint64_t revision) const;

  std::uint64_t index_ = 0;
  core::WallTime time_{};
  Config config_;
  /// Configuration before the first entry of history_; its hosts are unused.
  Config base_;
  std::deque<schema::ConfigEntry> history_;
  Feed feed_;
  ResultLog results_;
  ClaimTable claims_;
  GrantTable grants_;
  schema::PutFleet fleet_;
  FleetHistory fleet_history_;  ///< Not part of snapshots.
  quarantine::Table quarantines_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_STATE_H_
