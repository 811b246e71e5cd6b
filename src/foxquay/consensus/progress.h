#ifndef FOXQUAY_CONSENSUS_PROGRESS_H_
#define FOXQUAY_CONSENSUS_PROGRESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

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
  bool needs_snapshot = false;  ///< Entries alone cannot bring it up to date.
  Index transfer_index = 0;     ///< Index of the snapshot being sent.
  std::uint64_t transfer_offset = 0;  ///< Bytes of it received there.
  /// Send time, on the leader's clock, of the latest message that it answered.
  std::optional<core::Instant> acked_send_time;
  core::Instant last_reply_at{};  ///< Arrival time of its latest reply.
  /// Identifies the process that sent the latest reply; `stamp` is comparable
  /// only within one process.
  std::uint64_t session = 0;
  core::Duration stamp{};  ///< Its clock reading in the latest reply.
};

using ProgressMap = std::map<schema::ReplicaId, Progress, ReplicaLess>;

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_PROGRESS_H_
