#ifndef FOXQUAY_CONSENSUS_PROGRESS_H_
#define FOXQUAY_CONSENSUS_PROGRESS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus::internal {

/// Orders replicas by host, then incarnation.
struct ReplicaLess {
  bool operator()(const schema::ReplicaId& left,
                  const schema::ReplicaId& right) const {
    return std::tie(left.host, left.incarnation) <
           std::tie(right.host, right.incarnation);
  }
};

/// Replication progress of another replica as the leader knows it.
struct Progress {
  Index next = 1;   ///< Next entry to send.
  Index match = 0;  ///< Last entry known to be on its disk.
  /// Sequence number of the message with entries or a snapshot chunk that was
  /// sent last and has not been answered yet, if any.
  std::optional<std::uint64_t> in_flight;
  core::Instant in_flight_since{};
  /// Sequence numbers of earlier copies of that message, oldest first. A reply
  /// to one of them answers it as well.
  std::vector<std::uint64_t> copies;
  bool needs_snapshot = false;  ///< Entries alone cannot bring it up to date.
  Index transfer_index = 0;     ///< Index of the snapshot being sent.
  std::uint64_t transfer_offset = 0;  ///< Bytes of it received there.
  /// Send time, on the leader's clock, of the latest message that it answered.
  std::optional<core::Instant> acked_send_time;
  /// Latest time at which it is known to have been alive: when the latest
  /// message that it has answered was sent. A reply may arrive long after the
  /// process that sent it has ended.
  core::Instant alive_at{};
  /// When it asked this leader to join; the epoch if it was a voter before.
  core::Instant joined_at{};
  /// Identifies the process that sent the latest reply; `stamp` is comparable
  /// only within one process.
  std::uint64_t session = 0;
  core::Duration stamp{};  ///< Its clock reading in the latest reply.
  /// Largest entry that it reads, and the session that has stated it.
  std::optional<std::size_t> max_payload;
  std::uint64_t limit_session = 0;
  /// Session of the process that has sent a LeaveRequest, if any.
  std::optional<std::uint64_t> leaving_session;
  /// Voter that took over its vote while its process was down, if any.
  std::optional<schema::ReplicaId> stand_in;

  /// Returns whether its process is about to stop or has stopped in order. The
  /// request of a process does not concern one that was started after it.
  [[nodiscard]] bool IsLeaving() const {
    return leaving_session && (session == 0 || session == *leaving_session);
  }

  /// Records whether a reply answers the message in flight; if so, none is.
  bool TakeAnswer(std::uint64_t sequence) {
    const bool answers =
        in_flight == sequence ||
        std::find(copies.begin(), copies.end(), sequence) != copies.end();
    if (!answers) return false;
    Abandon();
    return true;
  }

  /// Forgets the message in flight, such as one that was sent to a process that
  /// has ended.
  void Abandon() {
    in_flight.reset();
    copies.clear();
  }
};

using ProgressMap = std::map<schema::ReplicaId, Progress, ReplicaLess>;

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_PROGRESS_H_
