#ifndef FOXQUAY_CONTROL_STATE_H_
#define FOXQUAY_CONTROL_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "foxquay/control/claims.h"
#include "foxquay/control/config.h"
#include "foxquay/control/feed.h"
#include "foxquay/control/grants.h"
#include "foxquay/control/result_log.h"
#include "foxquay/core/error.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/control.h"

namespace foxquay::control {

/// Operators' changes kept for history and rollback, seven days at the design
/// size; older ones are folded into the oldest configuration that can be
/// restored.
inline constexpr std::size_t kMaxHistory = 200'000;

/// The replicated control state: a deterministic function of the committed
/// entries.
///
/// Not thread-safe. Performs no I/O.
class State {
 public:
  State() = default;

  /// Restores a state from Snapshot's bytes; Error::kCorrupt if they do not
  /// decode.
  [[nodiscard]] static core::Result<State> FromSnapshot(
      const std::string& bytes);

  /// Writes the whole state.
  [[nodiscard]] std::string Snapshot() const;

  /// Applies a committed command and returns its result.
  ///
  /// `time` is the leader's wall time; an earlier time than one applied before
  /// counts as that one. `bytes` is an encoded schema::ControlCommand.
  /// Precondition: `index` is larger than any before.
  schema::ControlResult Apply(std::uint64_t index, core::WallTime time,
                              const std::string& bytes);

  /// Answers an observer's poll on the leader.
  ///
  /// `age` is the time since the leader sent the latest heartbeat round that a
  /// quorum has answered. Precondition: it has applied an entry of its own
  /// term, else an older leader's commits may be missing.
  [[nodiscard]] schema::ConfigReply Answer(const schema::ConfigPoll& poll,
                                           core::Duration age) const;

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  /// Returns the kept changes of operators, oldest first.
  [[nodiscard]] const std::deque<schema::ConfigEntry>& history()
      const noexcept {
    return history_;
  }
  [[nodiscard]] const ResultLog& results() const noexcept { return results_; }
  [[nodiscard]] const ClaimTable& claims() const noexcept { return claims_; }
  [[nodiscard]] const GrantTable& grants() const noexcept { return grants_; }
  /// Returns the configuration of the fleet; its version is 0 if there is none.
  [[nodiscard]] const schema::PutFleet& fleet() const noexcept {
    return fleet_;
  }
  /// Returns the index of the last applied entry.
  [[nodiscard]] std::uint64_t index() const noexcept { return index_; }
  /// Returns the latest wall time of an entry.
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
  [[nodiscard]] Config ConfigAt(std::uint64_t revision) const;

  std::uint64_t index_ = 0;
  core::WallTime time_{};
  Config config_;
  Config base_;  ///< Before the first kept history entry; hosts unused.
  std::deque<schema::ConfigEntry> history_;
  Feed feed_;
  ResultLog results_;
  ClaimTable claims_;
  GrantTable grants_;
  schema::PutFleet fleet_;
};

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_STATE_H_
