#ifndef FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_
#define FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/membership.h"

namespace foxquay::membership {

/// Most other hosts kept; further ones are ignored.
inline constexpr std::size_t kMaxMembers = 2048;
/// Most updates in one message; keeps it within a datagram of 1,400 bytes for
/// names of usual length.
inline constexpr std::size_t kMaxUpdates = 8;

/// What is known of another host.
struct Member {
  schema::MemberUpdate update;  ///< Latest news.
  core::Instant since{};        ///< When the state was last changed.
  unsigned transmissions = 0;   ///< How often the news was passed on.
};

/// The other hosts and which news of them to pass on.
///
/// Not thread-safe.
class MemberTable {
 public:
  using Map = std::map<core::HostId, Member>;

  /// Takes news that is newer than what is known; returns whether it was.
  ///
  /// News is ordered by incarnation, version and state, so that only the host
  /// itself, by a higher version or incarnation, returns to life.
  bool Merge(const schema::MemberUpdate& update, core::Instant now);

  /// Appends news until `updates` is full: the least often passed on first,
  /// then known states in turn, so that a newcomer learns of every host.
  void AppendUpdates(std::vector<schema::MemberUpdate>& updates);

  /// Returns a member, or null.
  [[nodiscard]] const Member* Find(const core::HostId& host) const;

  /// Returns the hosts in a state, by name.
  [[nodiscard]] std::vector<core::HostId> HostsIn(
      schema::MemberState state) const;

  /// Restarts the time in which suspected hosts may refute.
  void RestartSuspicions(core::Instant now);

  [[nodiscard]] const Map& members() const noexcept { return members_; }

 private:
  [[nodiscard]] unsigned TransmitLimit() const;
  void AppendRoundRobin(std::vector<schema::MemberUpdate>& updates);

  Map members_;
  core::HostId cursor_;  ///< Where AppendRoundRobin goes on.
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_MEMBER_TABLE_H_
