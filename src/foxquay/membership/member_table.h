#ifndef FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_
#define FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/membership.h"

namespace foxquay::membership {

/// Maximum number of members; updates about further hosts are ignored.
inline constexpr std::size_t kMaxMembers = 2048;
/// Maximum number of updates in one message. With names of usual length, the
/// message fits into a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxUpdates = 8;

/// Known state of another host.
struct Member {
  schema::MemberUpdate update;  ///< Latest update.
  core::Instant since{};        ///< Merge, or restart of the suspicion.
  unsigned transmissions = 0;   ///< How often `update` was sent as a new one.
};

/// Table of the other hosts; selects the updates that are disseminated with
/// each message.
///
/// Not thread-safe.
class MemberTable {
 public:
  using Map = std::map<core::HostId, Member>;

  /// Merges an update received at `now`; returns false and changes nothing if
  /// it is not newer than the known state, if the table is full, or if its host
  /// is empty.
  ///
  /// Updates are ordered by incarnation, version and state. Therefore, only the
  /// host itself can revert its state to alive, by raising its version or
  /// incarnation.
  bool Merge(const schema::MemberUpdate& update, core::Instant now);

  /// Appends updates until `updates` holds kMaxUpdates: first those that have
  /// been sent least often, up to the transmit limit, then the states of all
  /// hosts in rotation, so that a new host learns of every other one.
  void AppendUpdates(std::vector<schema::MemberUpdate>& updates);

  /// Returns a member, or null if the host is unknown.
  [[nodiscard]] const Member* Find(const core::HostId& host) const;

  /// Returns the hosts in a state, ordered by name.
  [[nodiscard]] std::vector<core::HostId> HostsIn(
      schema::MemberState state) const;

  /// Restarts the suspicion timeout of all suspected hosts at `now`.
  void RestartSuspicions(core::Instant now);

  [[nodiscard]] const Map& members() const noexcept { return members_; }

 private:
  [[nodiscard]] unsigned TransmitLimit() const;
  void AppendRoundRobin(std::vector<schema::MemberUpdate>& updates);

  Map members_;
  core::HostId cursor_;  ///< Last host that AppendRoundRobin visited.
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_
